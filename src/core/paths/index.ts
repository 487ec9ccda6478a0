/** Which path to each endpoint works: the direct connection of this box, or one through a relay. */
export { PathMonitor } from './path-monitor.js'
export type { CheckOutcome, EndpointPath, PathCheck, ServicePathStatus } from './path-monitor.js'
