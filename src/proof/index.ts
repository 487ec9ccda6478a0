/** Randomised simulations ("histories") that check invariants, for tests and long runs. */
export { RaftHistory } from './raft-history.js'
export type { HistoryReport } from './raft-history.js'
export { SchedulerHistory } from './scheduler-history.js'
export type { SchedulerReport } from './scheduler-history.js'
export { boundMs, runLeaseHistory } from './lease-history.js'
export type { LeaseArrival, LeaseHistoryShape } from './lease-history.js'
export { MemberHistory } from './member-history.js'
export type { MemberHistoryShape, Removal } from './member-history.js'
