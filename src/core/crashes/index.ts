/** Requests that end the endpoints which run them. */
export type { EndedRun, EndpointEnd } from './endpoint-end.js'
export { CrashWatch, gatherNewsMs, joinNews } from './crash-watch.js'
export type { CrashNews, Ruling } from './crash-watch.js'
export { describeEntry, labelSoftware } from './quarantine.js'
export type { HeldEntry, QuarantineEntry } from './quarantine.js'
