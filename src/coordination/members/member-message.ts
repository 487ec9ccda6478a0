import type { Member, MemberState } from './member.js'

/** A datagram between members. `news` carries piggybacked member updates. */
export type MemberMessage =
  | { readonly type: 'ping', readonly from: Member, readonly number: number, readonly news: readonly Member[], readonly digest: number }
  | { readonly type: 'ack', readonly from: Member, readonly number: number, readonly news: readonly Member[], readonly digest: number }
  | { readonly type: 'probe', readonly from: Member, readonly number: number, readonly target: string, readonly news: readonly Member[] }
  /** Requests the full member list; answered by one or more `state` messages. */
  | { readonly type: 'ask', readonly from: Member }
  | { readonly type: 'state', readonly from: Member, readonly news: readonly Member[] }

/** Destination of a datagram. */
export interface MemberAddress {
  readonly host: string
  readonly port: number
}

/** Input events. `at` is monotonic time, ms. */
export type MemberEvent =
  | { readonly type: 'tick', readonly at: number }
  | { readonly type: 'receive', readonly at: number, readonly message: MemberMessage }
  | { readonly type: 'leave', readonly at: number }

/** Output effects. `before` is null for a member that was unknown or has restarted. */
export type MemberEffect =
  | { readonly type: 'send', readonly to: MemberAddress, readonly message: MemberMessage }
  | { readonly type: 'changed', readonly member: Member, readonly before: MemberState | null }
