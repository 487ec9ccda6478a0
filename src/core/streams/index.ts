/** Which software version began each resumable stream. */
export { SeenVersions } from './seen-versions.js'
export { VersionCoverage } from './version-coverage.js'
export { OriginTable, isSameOrigin, originRetentionMs } from './origin-table.js'
export type { StreamOrigin } from './origin-table.js'
