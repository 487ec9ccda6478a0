/** Detection and quarantine of requests, and of parts of prompts, that crash the endpoints which run them. */
export type { CrashedRun, EndpointCrash } from './endpoint-crash.js'
export { CrashWatch, crashUpdateDelayMs, mergeCrashUpdates } from './crash-watch.js'
export type { CrashUpdate, SendDecision } from './crash-watch.js'
export { composePartKey, isPartKey } from './part-key.js'
export { SoundParts } from './sound-parts.js'
export { describeEntry, labelSoftware } from './quarantine.js'
export type { StoredEntry, QuarantineEntry } from './quarantine.js'
