/** Autoscaling: the target number of endpoints. */
export { SizePlanner } from './size-planner.js'
export type { EndpointGroup, GroupTarget, SizingInput, ZoneEndpoints } from './size-planner.js'
export { PricePlanner } from './price-planner.js'
export type { PricedInput, PricedTarget, PricedZone } from './price-planner.js'
export type { ReadingLoad } from './required-endpoints.js'
export type { UnavailableZone } from './zone-availability.js'
