/**
 * A box's side of placing one request: which shard to ask, and what to do when
 * one refuses. A request that may not wait is refused only after every shard
 * that could pause lower work for it was asked.
 */
import type { RequestId, ShardId, ZoneName } from './ids.js'
import type { RefusalReason } from './scheduler-action.js'
import type { ShardLoad } from './shard-load.js'

/** A shard that could take the request, as the box believes it to be. */
export interface ShardBelief {
  readonly id: ShardId
  readonly zone: ZoneName
  /** Its last word; null before any came. */
  readonly load: ShardLoad | null
  /** Sent there since that word. */
  readonly sentSince: number
  /** False where its owner can't be reached. */
  readonly isReachable: boolean
  /** True where this box owns it: a request placed there crosses no wire. */
  readonly isOwn: boolean
}

/** What to do next with a request. */
export type RouteStep =
  | { readonly type: 'ask', readonly shard: ShardId }
  | { readonly type: 'refuse', readonly reason: RefusalReason, readonly retryAfterMs: number }

const farPenalty = 0.15
const nearPenalty = 0.1
const noiseShare = 0.02
const mostAsked = 6
const mostAskedPatient = 3
const firstRetryMs = 1000

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

  /** The shard that was asked last. */
  get shard (): ShardId | null { return this.#last }

  /** The first shard to ask, or the next after a refusal. */
  next (shards: readonly ShardBelief[]): RouteStep {
    const open = shards.filter(shard => shard.isReachable && !this.#asked.has(shard.id))
    const wanted = this.#mustAsk(open)
    const best = this.#findBest(wanted)
    if (best === undefined) return this.#refuse()
    this.#asked.add(best.id)
    this.#last = best.id
    return { type: 'ask', shard: best.id }
  }

  /** A shard refused. */
  noteRefusal (reason: RefusalReason, retryAfterMs: number): void {
    this.#reason = reason
    this.#retryAfterMs = Math.min(this.#retryAfterMs, retryAfterMs)
  }

  /** A shard's owner could not be reached, or isn't the owner: it may be asked again. */
  noteUnreachable (shard: ShardId): void {
    this.#asked.delete(shard)
  }

  /** Shards with lower work that were not asked: must be none when a request that may not wait is refused. */
  findUnasked (shards: readonly ShardBelief[]): ShardId[] {
    if (this.#mayWait) return []
    return shards
      .filter(shard => shard.isReachable && !this.#asked.has(shard.id) && (shard.load?.patient ?? 0) > 0)
      .map(shard => shard.id)
  }

  #mustAsk (open: readonly ShardBelief[]): readonly ShardBelief[] {
    const most = this.#mayWait ? mostAskedPatient : mostAsked
    if (this.#asked.size < most) return open
    if (this.#mayWait) return []
    return open.filter(shard => (shard.load?.patient ?? 0) > 0)
  }

  #findBest (shards: readonly ShardBelief[]): ShardBelief | undefined {
    let best: ShardBelief | undefined
    let lowest = Infinity
    for (const shard of shards) {
      const score = this.#score(shard)
      if (score >= lowest) continue
      best = shard
      lowest = score
    }
    return best
  }

  // Work ahead for each place; own and near shards first, equal ones by lot.
  #score (shard: ShardBelief): number {
    const far = shard.isOwn ? 0 : shard.zone === this.#zone ? nearPenalty : farPenalty
    const noise = this.#random() * noiseShare
    const { load } = shard
    if (load === null) return 0.5 + far + noise
    if (load.places === 0) return 1e6 + noise
    const patient = this.#mayWait ? load.patient + load.queuedPatient * 2 : 0
    const ahead = load.quick + load.queued * 2 + shard.sentSince + patient
    return ahead / load.places + far + noise
  }

  #refuse (): RouteStep {
    const retryAfterMs = this.#retryAfterMs === Infinity ? firstRetryMs : this.#retryAfterMs
    return { type: 'refuse', reason: this.#reason, retryAfterMs }
  }
}
