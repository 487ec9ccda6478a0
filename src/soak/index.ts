/** Soak runs: randomised load and faults against the real programs as processes, with checks of the guarantees. */
export { SoakHistory } from './soak-history.js'
export type { SoakReport } from './soak-history.js'
export { drawFaults } from './fault-draw.js'
export type { ProxyMode, SoakFault, SoakShape, TimedFault } from './fault-draw.js'
export { FaultProxy } from './fault-proxy.js'
export { Disturbances } from './disturbances.js'
export { GuaranteeChecker } from './guarantee-checker.js'
export type { CheckedCall } from './guarantee-checker.js'
