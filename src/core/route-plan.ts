/**
 * Chooses the shards to which a box submits one request, in order, until one
 * grants it. An interactive request is refused only after every reachable shard
 * that could pause lower streams for it has refused.
 */
import type { RequestId, ShardId, ZoneName } from './ids.js'
import type { RefusalReason } from './scheduler-action.js'
import type { ShardLoad } from './shard-load.js'

/** A shard that could serve the request, with the last known load. */
export interface ShardEstimate {
  readonly id: ShardId
  readonly zone: ZoneName
  /** Its last load report; null before the first. */
  readonly load: ShardLoad | null
  /** Requests submitted to it since that report. */
  readonly sentSinceReport: number
  /** False if its owner is unreachable. */
  readonly isReachable: boolean
  /** True if this box owns it, so that submitting needs no network round trip. */
  readonly isOwn: boolean
}

/** The next step for a request. */
export type RouteStep =
  | { readonly type: 'ask', readonly shard: ShardId }
  | { readonly type: 'refuse', readonly reason: RefusalReason, readonly retryAfterMs: number }

/** Penalties and noise are in the unit of the score: requests per place. */
const otherZonePenalty = 0.15
const sameZonePenalty = 0.1
const maxNoise = 0.02
const maxAsked = 6
const maxAskedDeferrable = 3
const defaultRetryAfterMs = 1000

export class RoutePlan {
  readonly request: RequestId
  #mayWait: boolean
  #zone: ZoneName
  #random: () => number
  #asked = new Set<ShardId>()
  #retryAfterMs = Infinity
  #reason: RefusalReason = 'no-engine'
  #last: ShardId | null = null

  constructor (request: RequestId, mayWait: boolean, zone: ZoneName, random: () => number) {
    this.request = request
    this.#mayWait = mayWait
    this.#zone = zone
    this.#random = random
  }

  /** The shard that was asked last; null before the first. */
  get shard (): ShardId | null { return this.#last }

  /** The first shard to ask, or the next after a refusal. */
  next (shards: readonly ShardEstimate[]): RouteStep {
    const best = this.#findBest(this.#listOpen(shards))
    if (best === undefined) return this.#refuse()
    this.#asked.add(best.id)
    this.#last = best.id
    return { type: 'ask', shard: best.id }
  }

  /** True if `next` would name a shard. */
  canAsk (shards: readonly ShardEstimate[]): boolean { return this.#listOpen(shards).length > 0 }

  /** Records a refusal; the shortest retry delay of all refusals is passed on. */
  noteRefusal (reason: RefusalReason, retryAfterMs: number): void {
    this.#reason = reason
    this.#retryAfterMs = Math.min(this.#retryAfterMs, retryAfterMs)
  }

  /** Makes a shard eligible again whose owner was unreachable or has changed. */
  noteUnreachable (shard: ShardId): void {
    this.#asked.delete(shard)
  }

  /** Shards with lower streams that were not asked; must be empty when an interactive request is refused. */
  findUnasked (shards: readonly ShardEstimate[]): ShardId[] {
    if (this.#mayWait) return []
    return shards
      .filter(shard => shard.isReachable && !this.#asked.has(shard.id) && (shard.load?.patient ?? 0) > 0)
      .map(shard => shard.id)
  }

  #listOpen (shards: readonly ShardEstimate[]): readonly ShardEstimate[] {
    const open = shards.filter(shard => shard.isReachable && !this.#asked.has(shard.id))
    const limit = this.#mayWait ? maxAskedDeferrable : maxAsked
    if (this.#asked.size < limit) return open
    if (this.#mayWait) return []
    return open.filter(shard => (shard.load?.patient ?? 0) > 0)
  }

  #findBest (shards: readonly ShardEstimate[]): ShardEstimate | undefined {
    let best: ShardEstimate | undefined
    let lowest = Infinity
    for (const shard of shards) {
      const score = this.#score(shard)
      if (score >= lowest) continue
      best = shard
      lowest = score
    }
    return best
  }

  // Load per place plus a distance penalty; the noise breaks ties at random. Queued requests count double.
  #score (shard: ShardEstimate): number {
    const distancePenalty = shard.isOwn ? 0 : shard.zone === this.#zone ? sameZonePenalty : otherZonePenalty
    const noise = this.#random() * maxNoise
    const { load } = shard
    if (load === null) return 0.5 + distancePenalty + noise
    if (load.places === 0) return 1e6 + noise
    const deferrable = this.#mayWait ? load.patient + load.queuedPatient * 2 : 0
    const ahead = load.quick + load.queued * 2 + shard.sentSinceReport + deferrable
    return ahead / load.places + distancePenalty + noise
  }

  #refuse (): RouteStep {
    const retryAfterMs = this.#retryAfterMs === Infinity ? defaultRetryAfterMs : this.#retryAfterMs
    return { type: 'refuse', reason: this.#reason, retryAfterMs }
  }
}
