/** How many endpoints there should be. */
export { SizePlanner } from './size-planner.js'
export type { EndpointGroup, GroupWish, SizingSight, ZoneSight } from './size-planner.js'
