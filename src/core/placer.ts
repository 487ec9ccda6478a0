/**
 * Places the requests of one box: submits them to shard owners, tries other shards
 * after a refusal, and reports the progress of streams to the owners. It tracks
 * every request from submission to end, so that a new owner of a shard can rebuild
 * its state. All side effects go through `PlacerHost`.
 */
import type { BoxId, EngineId, RequestId, ShardId, ZoneName } from './ids.js'
import { RoutePlan } from './route-plan.js'
import type { ShardEstimate } from './route-plan.js'
import type { RefusalReason } from './scheduler-action.js'
import type { StreamEnd } from './scheduler-event.js'
import type { ShardReply, ShardMessage } from './shard-message.js'
import type { ShardLoad } from './shard-load.js'
import type { Submission } from './submission.js'

/** The engine that was granted to a request, or the reason for its refusal. */
export type Placement =
  | { readonly type: 'granted', readonly engine: EngineId, readonly priority: number }
  | { readonly type: 'refused', readonly reason: RefusalReason, readonly retryAfterMs: number }

/** A shard and its current owner. */
export interface PlacerShard {
  readonly id: ShardId
  readonly zone: ZoneName
  readonly owner: BoxId | undefined
  readonly models: readonly string[]
}

/** Functions of the box that the placer depends on. */
export interface PlacerHost {
  readonly box: BoxId
  readonly zone: ZoneName
  now (): number
  random (): number
  /** Sends a message to a shard's owner; false if the owner is unreachable. */
  send (owner: BoxId, shard: ShardId, message: ShardMessage): boolean
  isReachable (owner: BoxId): boolean
  noteViolation (rule: string, detail: string): void
}

interface TrackedRequest {
  submission: Submission
  readonly plan: RoutePlan
  shard: ShardId | null
  owner: BoxId | null
  engine: EngineId | null
  resolve: ((placement: Placement) => void) | null
}

interface LoadEstimate {
  load: ShardLoad
  sentSinceReport: number
}

/** An owner that has sent no load report for this time counts as unreachable, ms. */
const ownerTimeoutMs = 2500

export class Placer {
  #host: PlacerHost
  #shards: readonly PlacerShard[] = []
  #loadEstimates = new Map<ShardId, LoadEstimate>()
  #lastReportAt = new Map<BoxId, number>()
  #requests = new Map<RequestId, TrackedRequest>()

  constructor (host: PlacerHost) {
    this.#host = host
  }

  get inFlight (): number { return this.#requests.size }

  /** Requests a place; `resolve` is called once. `mayWait`: whether the class is deferrable. */
  place (submission: Submission, mayWait: boolean, resolve: (placement: Placement) => void): void {
    const plan = new RoutePlan(submission.request, mayWait, this.#host.zone, () => this.#host.random())
    const tracked: TrackedRequest = { submission, plan, shard: null, owner: null, engine: null, resolve }
    this.#requests.set(submission.request, tracked)
    this.#ask(tracked)
  }

  noteFirstToken (request: RequestId): void {
    this.#notifyOwner(request, tracked => ({ type: 'firstToken', request, attempt: tracked.submission.attempt }))
  }

  /** Reports the end of a granted stream. `backoffMs`: time for which the engine asked to get no further requests. */
  end (request: RequestId, how: StreamEnd, tokens: number, backoffMs = 0): void {
    this.#notifyOwner(request, tracked => ({ type: 'end', request, attempt: tracked.submission.attempt, how, tokens, ...backoffMs > 0 ? { backoffMs } : {} }))
    this.#requests.delete(request)
  }

  /** Withdraws a queued request whose caller has disconnected. */
  cancel (request: RequestId): void {
    this.#notifyOwner(request, tracked => ({ type: 'cancel', request, attempt: tracked.submission.attempt }))
    this.#requests.delete(request)
  }

  /** Handles the reply of a shard's owner. */
  receive (shard: ShardId, reply: ShardReply): void {
    const tracked = this.#requests.get(reply.request)
    const isCurrent = tracked !== undefined && tracked.submission.attempt === reply.attempt && tracked.shard === shard && tracked.resolve !== null
    if (!isCurrent) return this.#returnGrant(shard, reply)
    switch (reply.type) {
      case 'grant':
        tracked.engine = reply.engine
        return this.#resolve(tracked, { type: 'granted', engine: reply.engine, priority: reply.priority })
      case 'refuse':
        tracked.plan.noteRefusal(reply.reason, reply.retryAfterMs)
        return this.#ask(tracked)
    }
  }

  /** Handles the reply of a box that does not own the shard: the next `tick` submits the request again. */
  noteNotOwner (shard: ShardId, request: RequestId): void {
    const tracked = this.#requests.get(request)
    if (tracked === undefined || tracked.shard !== shard || tracked.resolve === null) return
    tracked.owner = null
  }

  noteLoads (from: BoxId, loads: readonly (readonly [ShardId, ShardLoad])[]): void {
    this.#lastReportAt.set(from, this.#host.now())
    for (const [id, load] of loads) this.#loadEstimates.set(id, { load, sentSinceReport: 0 })
  }

  /** Replaces the list of shards and owners; reports running streams to new owners. */
  setShards (shards: readonly PlacerShard[]): void {
    this.#shards = shards
    const known = new Set(shards.map(shard => shard.id))
    for (const id of this.#loadEstimates.keys()) {
      if (!known.has(id)) this.#loadEstimates.delete(id)
    }
    for (const tracked of this.#requests.values()) this.#moveToOwner(tracked)
  }

  /** Resends all requests of an owner after the connection to it was established. */
  resendRequests (owner: BoxId): void {
    this.#lastReportAt.set(owner, this.#host.now())
    for (const tracked of this.#requests.values()) {
      if (tracked.owner === owner) this.#resend(tracked, owner)
    }
  }

  /** Resubmits pending requests whose owner has changed or become unreachable. A request stays with a silent owner if no other can be asked. */
  tick (): void {
    for (const tracked of this.#requests.values()) {
      if (tracked.resolve === null || tracked.shard === null) continue
      const shard = this.#shards.find(one => one.id === tracked.shard)
      if (shard !== undefined && tracked.owner === shard.owner && this.#mayStay(tracked, shard)) continue
      this.#leaveOwner(tracked)
      this.#ask(tracked)
    }
  }

  #mayStay (tracked: TrackedRequest, shard: PlacerShard): boolean {
    if (this.#isReachable(shard)) return true
    const isLinked = shard.owner !== undefined && this.#host.isReachable(shard.owner)
    return isLinked && !tracked.plan.canAsk(this.#listShards(tracked.submission.model))
  }

  #ask (tracked: TrackedRequest): void {
    const shards = this.#listShards(tracked.submission.model)
    for (let step = tracked.plan.next(shards); ; step = tracked.plan.next(shards)) {
      if (step.type === 'refuse') return this.#refuse(tracked, step.reason, step.retryAfterMs, shards)
      const owner = this.#shards.find(shard => shard.id === step.shard)?.owner
      if (owner !== undefined && this.#submit(tracked, step.shard, owner)) return
    }
  }

  #submit (tracked: TrackedRequest, shard: ShardId, owner: BoxId): boolean {
    tracked.shard = shard
    tracked.owner = owner
    const leftMs = tracked.submission.deadline - this.#host.now()
    const estimate = this.#loadEstimates.get(shard)
    if (estimate !== undefined) estimate.sentSinceReport += 1
    return this.#host.send(owner, shard, { type: 'submit', submission: tracked.submission, leftMs })
  }

  #refuse (tracked: TrackedRequest, reason: RefusalReason, retryAfterMs: number, shards: readonly ShardEstimate[]): void {
    const notAsked = tracked.plan.findUnasked(shards)
    if (notAsked.length > 0) this.#host.noteViolation('no-shed-unasked', `${tracked.submission.request} ${notAsked.join(',')}`)
    this.#requests.delete(tracked.submission.request)
    this.#resolve(tracked, { type: 'refused', reason, retryAfterMs })
  }

  #resolve (tracked: TrackedRequest, placement: Placement): void {
    const { resolve } = tracked
    tracked.resolve = null
    resolve?.(placement)
  }

  // Releases a grant that no request is waiting for; otherwise the place would leak.
  #returnGrant (shard: ShardId, reply: ShardReply): void {
    if (reply.type !== 'grant') return
    const owner = this.#shards.find(one => one.id === shard)?.owner
    if (owner === undefined) return
    this.#host.send(owner, shard, { type: 'end', request: reply.request, attempt: reply.attempt, how: 'cancelled', tokens: 0 })
  }

  #leaveOwner (tracked: TrackedRequest): void {
    if (tracked.shard === null) return
    if (tracked.owner !== null) {
      const { request, attempt } = tracked.submission
      this.#host.send(tracked.owner, tracked.shard, { type: 'cancel', request, attempt })
    }
    tracked.plan.noteUnreachable(tracked.shard)
    // A late grant from the previous owner must not be mistaken for one from the next.
    tracked.submission = { ...tracked.submission, attempt: tracked.submission.attempt + 1 }
  }

  #moveToOwner (tracked: TrackedRequest): void {
    const owner = this.#shards.find(one => one.id === tracked.shard)?.owner
    if (owner === undefined || owner === tracked.owner || tracked.engine === null) return
    tracked.owner = owner
    this.#resend(tracked, owner)
  }

  #resend (tracked: TrackedRequest, owner: BoxId): void {
    if (tracked.shard === null) return
    const { submission, engine } = tracked
    if (engine !== null) this.#host.send(owner, tracked.shard, { type: 'adopt', submission, engine })
    else this.#host.send(owner, tracked.shard, { type: 'submit', submission, leftMs: submission.deadline - this.#host.now() })
  }

  #notifyOwner (request: RequestId, compose: (tracked: TrackedRequest) => ShardMessage): void {
    const tracked = this.#requests.get(request)
    if (tracked?.shard == null || tracked.owner === null) return
    this.#host.send(tracked.owner, tracked.shard, compose(tracked))
  }

  #listShards (model: string): ShardEstimate[] {
    const found: ShardEstimate[] = []
    for (const shard of this.#shards) {
      if (shard.models.includes(model)) found.push(this.#composeEstimate(shard))
    }
    return found
  }

  #composeEstimate (shard: PlacerShard): ShardEstimate {
    const estimate = this.#loadEstimates.get(shard.id)
    return { id: shard.id, zone: shard.zone, load: estimate?.load ?? null, sentSinceReport: estimate?.sentSinceReport ?? 0, isReachable: this.#isReachable(shard), isOwn: shard.owner === this.#host.box }
  }

  #isReachable (shard: PlacerShard): boolean {
    if (shard.owner === undefined || !this.#host.isReachable(shard.owner)) return false
    const lastReportAt = this.#lastReportAt.get(shard.owner)
    return lastReportAt === undefined || this.#host.now() - lastReportAt < ownerTimeoutMs
  }
}
