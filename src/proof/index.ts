/** Randomised histories with invariants, for tests and long runs. */
export { RaftHistory } from './raft-history.js'
export type { HistoryReport } from './raft-history.js'
export { SchedulerHistory } from './scheduler-history.js'
export type { SchedulerReport } from './scheduler-history.js'
export { playLeaseHistory } from './lease-history.js'
export type { LeaseHistoryEnd, LeaseHistoryShape } from './lease-history.js'
