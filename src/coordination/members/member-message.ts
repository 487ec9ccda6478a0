import type { Member, MemberState } from './member.js'

/** A datagram between members; each carries some news. */
export type MemberMessage =
  | { readonly type: 'ping', readonly from: Member, readonly number: number, readonly news: readonly Member[], readonly digest: number }
  | { readonly type: 'ack', readonly from: Member, readonly number: number, readonly news: readonly Member[], readonly digest: number }
  | { readonly type: 'probe', readonly from: Member, readonly number: number, readonly target: string, readonly news: readonly Member[] }
  /** Asks for everything the other knows; answered by several `state`s. */
  | { readonly type: 'ask', readonly from: Member }
  | { readonly type: 'state', readonly from: Member, readonly news: readonly Member[] }

/** Where a datagram goes. */
export interface MemberAddress {
  readonly host: string
  readonly port: number
}

/** What can happen. `at`: a clock that only rises, ms. */
export type MemberEvent =
  | { readonly type: 'tick', readonly at: number }
  | { readonly type: 'receive', readonly at: number, readonly message: MemberMessage }
  | { readonly type: 'leave', readonly at: number }

/** What is to be done. */
export type MemberEffect =
  | { readonly type: 'send', readonly to: MemberAddress, readonly message: MemberMessage }
  | { readonly type: 'changed', readonly member: Member, readonly before: MemberState | null }
