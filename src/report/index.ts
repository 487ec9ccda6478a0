/** Generated documentation: the simulation report, and reference pages for settings, errors and log events. */
export { composeReport } from './page.js'
export type { Report } from './page.js'
export { formatErrors, formatFields } from './tables.js'
export { composePages } from './pages.js'
