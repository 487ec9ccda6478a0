/** Detection and quarantine of requests that crash the endpoints which run them. */
export type { CrashedRun, EndpointEnd } from './endpoint-crash.js'
export { CrashWatch, gatherNewsMs, joinNews } from './crash-watch.js'
export type { CrashNews, Ruling } from './crash-watch.js'
export { describeEntry, labelSoftware } from './quarantine.js'
export type { StoredEntry, QuarantineEntry } from './quarantine.js'
