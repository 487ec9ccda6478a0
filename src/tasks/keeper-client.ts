/**
 * Calls to the keepers: finds the leader, follows redirects, and tells a call
 * that was never sent from one whose end is not known.
 */
import type { KeeperAddress } from '../config/index.js'
import type { BoxMessage, KeeperCall, KeeperReply, LinkPool } from '../protocol/index.js'

/** How a call ended. */
export type CallEnd =
  | { readonly type: 'reply', readonly reply: KeeperReply }
  /** Not one byte of the call was sent to a keeper. */
  | { readonly type: 'unsent' }
  /** Sent, but no answer came in time. */
  | { readonly type: 'unanswered' }

interface OpenCall {
  readonly body: KeeperCall
  readonly until: number
  readonly resolve: (end: CallEnd) => void
  sent: boolean
  keeper: string | null
  triedAt: number
}

const retryMs = 60
const resendMs = 700
const tickMs = 30

export class KeeperClient {
  #keepers: readonly KeeperAddress[]
  #links: LinkPool<BoxMessage>
  #now: () => number
  #open = new Map<number, OpenCall>()
  #counter = 0
  #leader: string | null = null
  #timer: NodeJS.Timeout
  #turn = 0

  constructor (keepers: readonly KeeperAddress[], links: LinkPool<BoxMessage>, now: () => number) {
    this.#keepers = keepers
    this.#links = links
    this.#now = now
    for (const { host, port } of keepers) links.dial(host, port)
    this.#timer = setInterval(() => this.#tick(), tickMs)
  }

  /** True where a link to at least one keeper is open. */
  get isConnected (): boolean {
    return this.#keepers.some(({ host, port }) => this.#links.find(host, port) !== undefined)
  }

  /** Calls the leader. A call that may have been carried out is resent, so its command must tell resends apart. */
  call (body: KeeperCall, timeoutMs: number): Promise<CallEnd> {
    return new Promise(resolve => {
      this.#counter += 1
      const open: OpenCall = { body, until: this.#now() + timeoutMs, resolve, sent: false, keeper: null, triedAt: -Infinity }
      this.#open.set(this.#counter, open)
      this.#try(this.#counter, open)
    })
  }

  /** Takes a reply from a keeper. */
  receive (from: string, call: number, reply: KeeperReply): void {
    const open = this.#open.get(call)
    if (open === undefined) return
    switch (reply.type) {
      case 'redirect':
        this.#leader = reply.leader
        open.keeper = null
        if (reply.leader !== null && reply.leader !== from) this.#try(call, open)
        else open.triedAt = this.#now()
        return
      case 'lost':
        open.keeper = null
        open.triedAt = this.#now()
        return
      default:
        this.#leader = from
        this.#open.delete(call)
        open.resolve({ type: 'reply', reply })
    }
  }

  close (): void {
    clearInterval(this.#timer)
    for (const open of this.#open.values()) this.#giveUp(open)
    this.#open.clear()
  }

  #tick (): void {
    const now = this.#now()
    for (const [call, open] of this.#open) {
      if (now >= open.until) {
        this.#open.delete(call)
        this.#giveUp(open)
      } else if (now - open.triedAt > (open.keeper === null ? retryMs : resendMs)) {
        if (open.keeper !== null && this.#leader === open.keeper) this.#leader = null
        this.#try(call, open)
      }
    }
  }

  #giveUp (open: OpenCall): void {
    open.resolve({ type: open.sent ? 'unanswered' : 'unsent' })
  }

  #try (call: number, open: OpenCall): void {
    open.triedAt = this.#now()
    const keeper = this.#choose()
    if (keeper === undefined) return
    const link = this.#links.find(keeper.host, keeper.port)
    if (link?.send({ type: 'call', call, body: open.body }) !== true) return
    open.sent = true
    open.keeper = keeper.id
  }

  #choose (): KeeperAddress | undefined {
    const reachable = this.#keepers.filter(({ host, port }) => this.#links.find(host, port) !== undefined)
    const leader = reachable.find(keeper => keeper.id === this.#leader)
    if (leader !== undefined) return leader
    this.#turn += 1
    return reachable[this.#turn % Math.max(1, reachable.length)]
  }
}
