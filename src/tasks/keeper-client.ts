/**
 * Calls the keepers: finds the leader, follows redirects, and distinguishes a call
 * that was never sent from one whose outcome is unknown.
 */
import type { KeeperAddress } from '../config/index.js'
import type { BoxMessage, KeeperCall, KeeperReply, LinkPool } from '../protocol/index.js'

/** The outcome of a call. */
export type CallOutcome =
  | { readonly type: 'reply', readonly reply: KeeperReply }
  /** No byte of the call was sent to a keeper. */
  | { readonly type: 'unsent' }
  /** Sent, but no reply arrived before the time-out; the call may have been executed. */
  | { readonly type: 'unanswered' }

interface PendingCall {
  readonly body: KeeperCall
  readonly deadline: number
  readonly resolve: (outcome: CallOutcome) => void
  isSent: boolean
  keeper: string | null
  lastTriedAt: number
}

/** Delay before a call is sent again after a redirect, without a reachable keeper, or after the link to its keeper has closed. */
const retryIntervalMs = 60
/** Delay before an unanswered call is sent again, possibly to another keeper. */
const resendIntervalMs = 700
const tickIntervalMs = 30

export class KeeperClient {
  #keepers: readonly KeeperAddress[]
  #links: LinkPool<BoxMessage>
  #now: () => number
  #pending = new Map<number, PendingCall>()
  #lastCallNumber = 0
  #leader: string | null = null
  #timer: NodeJS.Timeout
  #nextIndex = 0

  constructor (keepers: readonly KeeperAddress[], links: LinkPool<BoxMessage>, now: () => number) {
    this.#keepers = keepers
    this.#links = links
    this.#now = now
    for (const { host, port } of keepers) links.dial(host, port)
    this.#timer = setInterval(() => this.#tick(), tickIntervalMs)
  }

  /** True if a link to at least one keeper is open. */
  get isConnected (): boolean {
    return this.#keepers.some(({ host, port }) => this.#links.find(host, port) !== undefined)
  }

  /** Calls the leader. Calls are resent even if they may have been executed, so commands must be idempotent. */
  call (body: KeeperCall, timeoutMs: number): Promise<CallOutcome> {
    return new Promise(resolve => {
      this.#lastCallNumber += 1
      const pending: PendingCall = { body, deadline: this.#now() + timeoutMs, resolve, isSent: false, keeper: null, lastTriedAt: -Infinity }
      this.#pending.set(this.#lastCallNumber, pending)
      this.#send(this.#lastCallNumber, pending)
    })
  }

  /** Handles a reply. `from`: the name of the keeper. */
  receive (from: string, call: number, reply: KeeperReply): void {
    const pending = this.#pending.get(call)
    if (pending === undefined) return
    switch (reply.type) {
      case 'redirect':
        this.#leader = reply.leader
        pending.keeper = null
        if (reply.leader !== null && reply.leader !== from) this.#send(call, pending)
        else pending.lastTriedAt = this.#now()
        return
      case 'lost':
        pending.keeper = null
        pending.lastTriedAt = this.#now()
        return
      default:
        this.#leader = from
        this.#pending.delete(call)
        pending.resolve({ type: 'reply', reply })
    }
  }

  close (): void {
    clearInterval(this.#timer)
    for (const pending of this.#pending.values()) this.#fail(pending)
    this.#pending.clear()
  }

  #tick (): void {
    const now = this.#now()
    for (const [call, pending] of this.#pending) {
      if (now >= pending.deadline) {
        this.#pending.delete(call)
        this.#fail(pending)
      } else if (now - pending.lastTriedAt > (this.#isLinked(pending.keeper) ? resendIntervalMs : retryIntervalMs)) {
        if (pending.keeper !== null && this.#leader === pending.keeper) this.#leader = null
        this.#send(call, pending)
      }
    }
  }

  #fail (pending: PendingCall): void {
    pending.resolve({ type: pending.isSent ? 'unanswered' : 'unsent' })
  }

  #send (call: number, pending: PendingCall): void {
    pending.lastTriedAt = this.#now()
    const keeper = this.#chooseKeeper()
    if (keeper === undefined) return
    const link = this.#links.find(keeper.host, keeper.port)
    if (link?.send({ type: 'call', call, body: pending.body }) !== true) return
    pending.isSent = true
    pending.keeper = keeper.id
  }

  #isLinked (id: string | null): boolean {
    const keeper = this.#keepers.find(one => one.id === id)
    return keeper !== undefined && this.#links.find(keeper.host, keeper.port) !== undefined
  }

  #chooseKeeper (): KeeperAddress | undefined {
    const reachable = this.#keepers.filter(({ host, port }) => this.#links.find(host, port) !== undefined)
    const leader = reachable.find(keeper => keeper.id === this.#leader)
    if (leader !== undefined) return leader
    this.#nextIndex += 1
    return reachable[this.#nextIndex % Math.max(1, reachable.length)]
  }
}
