/**
 * Coordination parts for embedding: a replicated log, a ledger of
 * configuration, claims of calls that may not be repeated, and fenced orders.
 */
export * from './log/index.js'
export * from './claims/claim-types.js'
export { ClaimTable } from './claims/claim-table.js'
export type { ClaimBounds, ClaimTableState } from './claims/claim-table.js'
export * from './ledger/ledger-types.js'
export { ConfigLedger } from './ledger/config-ledger.js'
export type { LedgerBounds, LedgerState } from './ledger/config-ledger.js'
export { applyChanges, diffDocuments, formatCanonical } from './ledger/document.js'
export { OrderBook } from './orders/order-book.js'
export type { Order, OrderAction, OrderBookState, OrderCommand, OrderResult } from './orders/order-book.js'
export { KeeperState, defaultBounds } from './keeper-state.js'
export type { KeeperBounds, KeeperCommand, KeeperResult, KeeperSnapshot } from './keeper-state.js'
export { isNewer } from './members/member.js'
export type { Member, MemberState } from './members/member.js'
export type { MemberAddress, MemberEffect, MemberEvent, MemberMessage } from './members/member-message.js'
export { Membership, defaultMembershipTuning } from './members/membership.js'
export type { MembershipTuning } from './members/membership.js'
