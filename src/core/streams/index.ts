/** Which software version began each resumable stream. */
export { OriginTable, isSameOrigin, originRetentionMs } from './origin-table.js'
export type { StreamOrigin } from './origin-table.js'
