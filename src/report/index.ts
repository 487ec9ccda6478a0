/** Pages and plots from measured rows. */
export { composeReport } from './page.js'
export type { Report } from './page.js'
export { formatErrors, formatFields } from './tables.js'
export { composePages } from './pages.js'
