/** Autoscaling: the target number of endpoints. */
export { SizePlanner } from './size-planner.js'
export type { EndpointGroup, GroupTarget, SizingInput, ZoneEndpoints } from './size-planner.js'
