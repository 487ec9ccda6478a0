/** Enforces one box's share of a workspace's limits, with token buckets. */

/** The limits of a workspace across all boxes. */
export interface WorkspaceLimits {
  readonly requestsPerSecond: number
  readonly tokensPerMinute: number
  readonly streams: number
}

/** Whether a request is admitted. */
export type LimitDecision =
  | { readonly type: 'in' }
  | { readonly type: 'over', readonly retryAfterMs: number }

const burstSeconds = 1
const minuteMs = 60_000
const streamRetryAfterMs = 1000

/** A token bucket whose level may be overdrawn by one charge. */
class Bucket {
  #level = 0
  #at: number | null = null

  refill (at: number, perMs: number, capacity: number): void {
    if (this.#at === null) this.#level = capacity
    else this.#level = Math.min(capacity, this.#level + (at - this.#at) * perMs)
    this.#at = at
  }

  get level (): number { return this.#level }

  charge (amount: number): void { this.#level -= amount }
}

export class WorkspaceLimit {
  #requests = new Bucket()
  #tokens = new Bucket()
  #streams = 0
  #share = 1
  #demand = 0
  #demandAt = 0

  /** Number of requests in flight on this box. */
  get streams (): number { return this.#streams }

  /** Sets this box's share of the limits, 0 to 1. */
  set share (share: number) { this.#share = share }
  get share (): number { return this.#share }

  /** Request rate per second, averaged with a time constant of 5 s; the basis for dividing limits. */
  getDemand (at: number): number {
    return this.#demand * Math.exp((this.#demandAt - at) / 5000)
  }

  /** Admits a request, or returns a retry delay. */
  admit (at: number, limits: WorkspaceLimits, tokens: number): LimitDecision {
    this.#noteDemand(at)
    const perMs = limits.requestsPerSecond * this.#share / 1000
    const tokensPerMs = limits.tokensPerMinute * this.#share / minuteMs
    this.#requests.refill(at, perMs, Math.max(1, perMs * 1000 * burstSeconds))
    this.#tokens.refill(at, tokensPerMs, tokensPerMs * minuteMs / 6)
    if (this.#requests.level < 1) return { type: 'over', retryAfterMs: (1 - this.#requests.level) / perMs }
    if (this.#tokens.level <= 0) return { type: 'over', retryAfterMs: (1 - this.#tokens.level) / tokensPerMs }
    if (this.#streams >= Math.max(1, limits.streams * this.#share)) return { type: 'over', retryAfterMs: streamRetryAfterMs }
    this.#requests.charge(1)
    this.#tokens.charge(tokens)
    this.#streams += 1
    return { type: 'in' }
  }

  /** Releases an admitted request. `tokens`: difference between its actual and estimated tokens. */
  release (tokens: number): void {
    this.#streams -= 1
    this.#tokens.charge(tokens)
  }

  #noteDemand (at: number): void {
    this.#demand = this.getDemand(at) + 0.2
    this.#demandAt = at
  }
}

const evenFraction = 0.2

/**
 * This box's share of a limit: a fifth of the limit is divided evenly among all
 * boxes, the rest by demand, so that a box without recent demand can serve at
 * once. The shares of all boxes add up to 1.
 */
export function divideLimit (ownDemand: number, otherDemands: readonly number[]): number {
  const boxes = otherDemands.length + 1
  const total = otherDemands.reduce((sum, one) => sum + one, ownDemand)
  const byDemand = total === 0 ? 1 / boxes : ownDemand / total
  return evenFraction / boxes + (1 - evenFraction) * byDemand
}

/** A box among which limits are divided. */
export interface LimitSharer {
  readonly id: string
  readonly zone: string
  readonly isGone: boolean
}

/**
 * The boxes among which limits are divided. A box that has failed is left out,
 * unless its whole zone has: that zone is assumed to be partitioned and still
 * using its last shares, so that both sides together stay within the limit.
 */
export function listSharers (boxes: readonly LimitSharer[]): LimitSharer[] {
  const present = new Set(boxes.filter(box => !box.isGone).map(box => box.zone))
  return boxes.filter(box => !box.isGone || !present.has(box.zone))
}
