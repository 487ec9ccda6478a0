/** One box's share of a workspace's limits: token buckets that refill by time. */

/** The limits of a workspace over all boxes. */
export interface WorkspaceLimits {
  readonly requestsPerSecond: number
  readonly tokensPerMinute: number
  readonly streams: number
}

/** What was found when a request asked to be let in. */
export type LimitAnswer =
  | { readonly type: 'in' }
  | { readonly type: 'over', readonly retryAfterMs: number }

const burstSeconds = 1
const minuteMs = 60_000
const retryStreamsMs = 1000

/** A bucket that refills at a rate. Its level may fall under zero by one charge. */
class Bucket {
  #level = 0
  #at: number | null = null

  refill (at: number, perMs: number, most: number): void {
    if (this.#at === null) this.#level = most
    else this.#level = Math.min(most, this.#level + (at - this.#at) * perMs)
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

  /** Requests in flight here. */
  get streams (): number { return this.#streams }

  /** Sets this box's share of the limits, 0 to 1. */
  set share (share: number) { this.#share = share }
  get share (): number { return this.#share }

  /** Requests asked for a second, smoothed: what shares are divided by. */
  getDemand (at: number): number {
    return this.#demand * Math.exp((this.#demandAt - at) / 5000)
  }

  /** Lets a request in, or says when to come back. */
  enter (at: number, limits: WorkspaceLimits, tokens: number): LimitAnswer {
    this.#noteDemand(at)
    const perMs = limits.requestsPerSecond * this.#share / 1000
    const tokensPerMs = limits.tokensPerMinute * this.#share / minuteMs
    this.#requests.refill(at, perMs, Math.max(1, perMs * 1000 * burstSeconds))
    this.#tokens.refill(at, tokensPerMs, tokensPerMs * minuteMs / 6)
    if (this.#requests.level < 1) return { type: 'over', retryAfterMs: (1 - this.#requests.level) / perMs }
    if (this.#tokens.level <= 0) return { type: 'over', retryAfterMs: (1 - this.#tokens.level) / tokensPerMs }
    if (this.#streams >= Math.max(1, limits.streams * this.#share)) return { type: 'over', retryAfterMs: retryStreamsMs }
    this.#requests.charge(1)
    this.#tokens.charge(tokens)
    this.#streams += 1
    return { type: 'in' }
  }

  /** A request that was let in has ended; `tokens` is what it took beyond its estimate. */
  leave (tokens: number): void {
    this.#streams -= 1
    this.#tokens.charge(tokens)
  }

  #noteDemand (at: number): void {
    this.#demand = this.getDemand(at) + 0.2
    this.#demandAt = at
  }
}

const evenShare = 0.2

/**
 * Divides a limit among boxes by their demand, a fifth of it evenly, so that a
 * box without demand can begin at once. The shares add up to 1.
 */
export function divideLimit (own: number, others: readonly number[]): number {
  const boxes = others.length + 1
  const total = others.reduce((sum, one) => sum + one, own)
  const byDemand = total === 0 ? 1 / boxes : own / total
  return evenShare / boxes + (1 - evenShare) * byDemand
}

/** A box as it counts for dividing limits. */
export interface LimitSharer {
  readonly id: string
  readonly zone: string
  readonly isGone: boolean
}

/**
 * The boxes among which limits are divided. A box that is gone gives its share
 * up, unless its whole zone is gone: that zone is taken to be cut off and to
 * spend its last share, so both sides together stay within the limit.
 */
export function listSharers (boxes: readonly LimitSharer[]): LimitSharer[] {
  const present = new Set(boxes.filter(box => !box.isGone).map(box => box.zone))
  return boxes.filter(box => !box.isGone || !present.has(box.zone))
}
