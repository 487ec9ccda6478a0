/** Pages and plots from measured rows. */
export { composeReport } from './page.js'
export type { Report } from './page.js'
