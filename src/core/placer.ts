/**
 * A box's side of placing its requests: asks shards, follows refusals to other
 * shards, and tells owners how streams go. It holds every request of the box
 * from submission to end, so that a new owner of a shard can be told. Pure but
 * for what its host does.
 */
import type { BoxId, EngineId, RequestId, ShardId, ZoneName } from './ids.js'
import { RoutePlan } from './route-plan.js'
import type { ShardBelief } from './route-plan.js'
import type { RefusalReason } from './scheduler-action.js'
import type { StreamEnd } from './scheduler-event.js'
import type { ShardAnswer, ShardWord } from './shard-word.js'
import type { ShardLoad } from './shard-load.js'
import type { Submission } from './submission.js'

/** Where a request was placed, or why it was not. */
export type Placement =
  | { readonly type: 'granted', readonly engine: EngineId, readonly priority: number }
  | { readonly type: 'refused', readonly reason: RefusalReason, readonly retryAfterMs: number }

/** A shard as the placer is told of it. */
export interface PlacerShard {
  readonly id: ShardId
  readonly zone: ZoneName
  readonly owner: BoxId | undefined
  readonly models: readonly string[]
}

/** What the placer needs of the box. */
export interface PlacerHost {
  readonly box: BoxId
  readonly zone: ZoneName
  now (): number
  random (): number
  /** Sends word to a shard's owner; false where it can't be reached. */
  send (owner: BoxId, shard: ShardId, word: ShardWord): boolean
  isReachable (owner: BoxId): boolean
  noteViolation (rule: string, detail: string): void
}

interface Placed {
  submission: Submission
  readonly plan: RoutePlan
  shard: ShardId | null
  owner: BoxId | null
  engine: EngineId | null
  resolve: ((placement: Placement) => void) | null
}

interface Belief {
  load: ShardLoad
  sentSince: number
}

const silentOwnerMs = 2500

export class Placer {
  #host: PlacerHost
  #shards: readonly PlacerShard[] = []
  #beliefs = new Map<ShardId, Belief>()
  #heardAt = new Map<BoxId, number>()
  #requests = new Map<RequestId, Placed>()

  constructor (host: PlacerHost) {
    this.#host = host
  }

  get inFlight (): number { return this.#requests.size }

  /** Asks for a place; `resolve` is called once. `mayWait` is the class's. */
  place (submission: Submission, mayWait: boolean, resolve: (placement: Placement) => void): void {
    const plan = new RoutePlan(submission.request, mayWait, this.#host.zone, () => this.#host.random())
    const placed: Placed = { submission, plan, shard: null, owner: null, engine: null, resolve }
    this.#requests.set(submission.request, placed)
    this.#ask(placed)
  }

  noteFirstToken (request: RequestId): void {
    this.#tell(request, placed => ({ type: 'firstToken', request, attempt: placed.submission.attempt }))
  }

  /** A granted stream has ended; `backoffMs`: how long the engine wants no work. */
  end (request: RequestId, how: StreamEnd, tokens: number, backoffMs = 0): void {
    this.#tell(request, placed => ({ type: 'end', request, attempt: placed.submission.attempt, how, tokens, ...backoffMs > 0 ? { backoffMs } : {} }))
    this.#requests.delete(request)
  }

  /** The caller left while the request waited. */
  cancel (request: RequestId): void {
    this.#tell(request, placed => ({ type: 'cancel', request, attempt: placed.submission.attempt }))
    this.#requests.delete(request)
  }

  /** The answer of a shard's owner. */
  receive (shard: ShardId, answer: ShardAnswer): void {
    const placed = this.#requests.get(answer.request)
    const isCurrent = placed !== undefined && placed.submission.attempt === answer.attempt && placed.shard === shard && placed.resolve !== null
    if (!isCurrent) return this.#returnGrant(shard, answer)
    switch (answer.type) {
      case 'grant':
        placed.engine = answer.engine
        return this.#resolve(placed, { type: 'granted', engine: answer.engine, priority: answer.priority })
      case 'refuse':
        placed.plan.noteRefusal(answer.reason, answer.retryAfterMs)
        return this.#ask(placed)
    }
  }

  /** The box that was asked doesn't own the shard. */
  noteNotOwner (shard: ShardId, request: RequestId): void {
    const placed = this.#requests.get(request)
    if (placed === undefined || placed.shard !== shard || placed.resolve === null) return
    placed.owner = null
  }

  noteLoads (from: BoxId, loads: readonly (readonly [ShardId, ShardLoad])[]): void {
    this.#heardAt.set(from, this.#host.now())
    for (const [id, load] of loads) this.#beliefs.set(id, { load, sentSince: 0 })
  }

  /** Takes the shards and their owners as they are now; tells new owners what runs. */
  setShards (shards: readonly PlacerShard[]): void {
    this.#shards = shards
    const known = new Set(shards.map(shard => shard.id))
    for (const id of this.#beliefs.keys()) {
      if (!known.has(id)) this.#beliefs.delete(id)
    }
    for (const placed of this.#requests.values()) this.#moveToOwner(placed)
  }

  /** A link to an owner has opened: it is told of everything that is its own. */
  reopen (owner: BoxId): void {
    this.#heardAt.set(owner, this.#host.now())
    for (const placed of this.#requests.values()) {
      if (placed.owner === owner) this.#tellAgain(placed, owner)
    }
  }

  /** Asks again for requests whose owner is gone or silent. */
  tick (): void {
    for (const placed of this.#requests.values()) {
      if (placed.resolve === null || placed.shard === null) continue
      const shard = this.#shards.find(one => one.id === placed.shard)
      if (shard !== undefined && placed.owner === shard.owner && this.#isReachable(shard)) continue
      this.#leaveOwner(placed)
      this.#ask(placed)
    }
  }

  #ask (placed: Placed): void {
    const beliefs = this.#findShards(placed.submission.model)
    for (let step = placed.plan.next(beliefs); ; step = placed.plan.next(beliefs)) {
      if (step.type === 'refuse') return this.#refuse(placed, step.reason, step.retryAfterMs, beliefs)
      const owner = this.#shards.find(shard => shard.id === step.shard)?.owner
      if (owner !== undefined && this.#submit(placed, step.shard, owner)) return
    }
  }

  #submit (placed: Placed, shard: ShardId, owner: BoxId): boolean {
    placed.shard = shard
    placed.owner = owner
    const leftMs = placed.submission.deadline - this.#host.now()
    const belief = this.#beliefs.get(shard)
    if (belief !== undefined) belief.sentSince += 1
    return this.#host.send(owner, shard, { type: 'submit', submission: placed.submission, leftMs })
  }

  #refuse (placed: Placed, reason: RefusalReason, retryAfterMs: number, beliefs: readonly ShardBelief[]): void {
    const unasked = placed.plan.findUnasked(beliefs)
    if (unasked.length > 0) this.#host.noteViolation('no-shed-unasked', `${placed.submission.request} ${unasked.join(',')}`)
    this.#requests.delete(placed.submission.request)
    this.#resolve(placed, { type: 'refused', reason, retryAfterMs })
  }

  #resolve (placed: Placed, placement: Placement): void {
    const { resolve } = placed
    placed.resolve = null
    resolve?.(placement)
  }

  // A grant that nobody waits for is given back, or its place would be lost.
  #returnGrant (shard: ShardId, answer: ShardAnswer): void {
    if (answer.type !== 'grant') return
    const owner = this.#shards.find(one => one.id === shard)?.owner
    if (owner === undefined) return
    this.#host.send(owner, shard, { type: 'end', request: answer.request, attempt: answer.attempt, how: 'cancelled', tokens: 0 })
  }

  #leaveOwner (placed: Placed): void {
    if (placed.shard === null) return
    if (placed.owner !== null) {
      const { request, attempt } = placed.submission
      this.#host.send(placed.owner, placed.shard, { type: 'cancel', request, attempt })
    }
    placed.plan.noteUnreachable(placed.shard)
    // A grant of the owner that was left must not be taken for the next one's.
    placed.submission = { ...placed.submission, attempt: placed.submission.attempt + 1 }
  }

  #moveToOwner (placed: Placed): void {
    const owner = this.#shards.find(one => one.id === placed.shard)?.owner
    if (owner === undefined || owner === placed.owner || placed.engine === null) return
    placed.owner = owner
    this.#tellAgain(placed, owner)
  }

  #tellAgain (placed: Placed, owner: BoxId): void {
    if (placed.shard === null) return
    const { submission, engine } = placed
    if (engine !== null) this.#host.send(owner, placed.shard, { type: 'adopt', submission, engine })
    else this.#host.send(owner, placed.shard, { type: 'submit', submission, leftMs: submission.deadline - this.#host.now() })
  }

  #tell (request: RequestId, make: (placed: Placed) => ShardWord): void {
    const placed = this.#requests.get(request)
    if (placed?.shard == null || placed.owner === null) return
    this.#host.send(placed.owner, placed.shard, make(placed))
  }

  #findShards (model: string): ShardBelief[] {
    const found: ShardBelief[] = []
    for (const shard of this.#shards) {
      if (shard.models.includes(model)) found.push(this.#believe(shard))
    }
    return found
  }

  #believe (shard: PlacerShard): ShardBelief {
    const belief = this.#beliefs.get(shard.id)
    return { id: shard.id, zone: shard.zone, load: belief?.load ?? null, sentSince: belief?.sentSince ?? 0, isReachable: this.#isReachable(shard), isOwn: shard.owner === this.#host.box }
  }

  #isReachable (shard: PlacerShard): boolean {
    if (shard.owner === undefined || !this.#host.isReachable(shard.owner)) return false
    const heardAt = this.#heardAt.get(shard.owner)
    return heardAt === undefined || this.#host.now() - heardAt < silentOwnerMs
  }
}
