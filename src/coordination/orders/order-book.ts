/**
 * Fenced orders to engines, as a state machine of the replicated log. Every
 * order gets a number that only rises. One holder of a lease gives the orders.
 * An engine that checks numbers refuses an older giver by itself; towards one
 * that doesn't, a new holder waits until the old lease has run out everywhere,
 * drift of clocks included.
 */

/** What an engine can be told to do. */
export type OrderAction =
  | { readonly type: 'load', readonly model: string }
  | { readonly type: 'unload', readonly model: string }
  | { readonly type: 'adapter', readonly adapter: string }
  | { readonly type: 'version', readonly model: string, readonly version: string }
  | { readonly type: 'role', readonly role: 'prefill' | 'decode' | 'both' }

/** An order as it was recorded. */
export interface Order {
  readonly fence: number
  readonly engine: string
  readonly action: OrderAction
  readonly time: number
  done: 'given' | 'done' | 'failed'
}

/** What is asked of the book. */
export type OrderCommand =
  | { readonly type: 'lease', readonly holder: string, readonly leaseMs: number }
  | { readonly type: 'order', readonly holder: string, readonly engine: string, readonly action: OrderAction }
  | { readonly type: 'orderDone', readonly fence: number, readonly ok: boolean }

/** The answer to a command. */
export type OrderResult =
  /** The lease holds until `until`; `safeAt`: when no earlier holder's can. Agreed times. */
  | { readonly type: 'leased', readonly until: number, readonly safeAt: number }
  | { readonly type: 'held', readonly holder: string, readonly until: number }
  | { readonly type: 'ordered', readonly fence: number, readonly safeAt: number }
  | { readonly type: 'last-copy', readonly model: string }
  | { readonly type: 'noted' }
  | { readonly type: 'unknown-order' }

interface Lease {
  readonly holder: string
  readonly until: number
  readonly safeAt: number
}

/** The book as it stands in a snapshot. */
export interface OrderBookState {
  readonly fence: number
  readonly lease: Lease | null
  readonly orders: readonly Order[]
  readonly copies: readonly (readonly [string, readonly string[]])[]
}

const emptyBook: OrderBookState = { fence: 0, lease: null, orders: [], copies: [] }
const ordersKept = 1024
const driftShare = 0.05

export class OrderBook {
  #fence: number
  #lease: Lease | null
  #orders: Order[]
  #copies: Map<string, Set<string>>

  constructor (state: OrderBookState = emptyBook) {
    this.#fence = state.fence
    this.#lease = state.lease
    this.#orders = state.orders.map(one => ({ ...one }))
    this.#copies = new Map(state.copies.map(([model, engines]) => [model, new Set(engines)]))
  }

  get fence (): number { return this.#fence }
  get orders (): readonly Order[] { return this.#orders }

  /** Carries out one command at agreed time `now`. */
  apply (command: OrderCommand, now: number): OrderResult {
    switch (command.type) {
      case 'lease': return this.#grantLease(command.holder, command.leaseMs, now)
      case 'order': return this.#order(command.holder, command.engine, command.action, now)
      case 'orderDone': return this.#finish(command.fence, command.ok)
    }
  }

  save (): OrderBookState {
    return {
      fence: this.#fence,
      lease: this.#lease,
      orders: this.#orders.map(one => ({ ...one })),
      copies: [...this.#copies].map(([model, engines]) => [model, [...engines]])
    }
  }

  #grantLease (holder: string, leaseMs: number, now: number): OrderResult {
    const old = this.#lease
    if (old !== null && old.holder !== holder && now < old.until) {
      return { type: 'held', holder: old.holder, until: old.until }
    }
    const until = now + leaseMs
    const safeAt = old === null ? now : old.holder === holder ? old.safeAt : old.until + (old.until - old.safeAt) * driftShare
    this.#lease = { holder, until, safeAt: Math.max(safeAt, old?.holder === holder ? 0 : now) }
    return { type: 'leased', until, safeAt: this.#lease.safeAt }
  }

  #order (holder: string, engine: string, action: OrderAction, now: number): OrderResult {
    const lease = this.#lease
    if (lease === null || lease.holder !== holder || now >= lease.until) {
      return { type: 'held', holder: lease?.holder ?? '', until: lease?.until ?? now }
    }
    if (action.type === 'unload' && this.#isLastCopy(action.model, engine)) return { type: 'last-copy', model: action.model }
    this.#fence += 1
    this.#orders.push({ fence: this.#fence, engine, action, time: now, done: 'given' })
    if (this.#orders.length > ordersKept) this.#orders.shift()
    // An unload counts from when it is given, a load from when it is done.
    if (action.type === 'unload') this.#copies.get(action.model)?.delete(engine)
    return { type: 'ordered', fence: this.#fence, safeAt: lease.safeAt }
  }

  #isLastCopy (model: string, engine: string): boolean {
    const engines = this.#copies.get(model)
    if (engines === undefined) return false
    return engines.has(engine) && engines.size === 1
  }

  #finish (fence: number, ok: boolean): OrderResult {
    const order = this.#orders.find(one => one.fence === fence)
    if (order === undefined) return { type: 'unknown-order' }
    order.done = ok ? 'done' : 'failed'
    if (ok && order.action.type === 'load') this.#open(order.action.model).add(order.engine)
    return { type: 'noted' }
  }

  #open (model: string): Set<string> {
    const engines = this.#copies.get(model) ?? new Set<string>()
    this.#copies.set(model, engines)
    return engines
  }
}
