/** Randomised histories of the real programs as processes, with faults from outside them. */
export { SoakHistory } from './soak-history.js'
export type { SoakReport } from './soak-history.js'
export type { SoakShape } from './fault-draw.js'
