/** Autoscaling: the target number of endpoints. */
export { SizePlanner } from './size-planner.js'
export type { EndpointGroup, GroupWish, SizingSight, ZoneSight } from './size-planner.js'
