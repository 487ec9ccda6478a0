import type { BoxId, ClassName, EngineId, RequestId, WorkspaceName } from './ids.js'
import type { EngineSpec } from './scheduler-config.js'
import { EngineHealth } from './engine-health.js'
import { PrefixCacheEstimate } from './prefix-cache-estimate.js'

export interface GrantedStream {
  readonly request: RequestId
  readonly attempt: number
  readonly box: BoxId
  readonly class: ClassName
  readonly workspace: WorkspaceName
  readonly priority: number
  readonly mayWait: boolean
  readonly grantedAt: number
  readonly estimatedTokens: number
}

const maxOversubscription = 2

/** A scheduler's state of one engine: the streams granted there, and estimates of its health and prefix cache. */
export class EngineState {
  readonly health = new EngineHealth()
  readonly prefixes = new PrefixCacheEstimate()
  readonly streams = new Map<RequestId, GrantedStream>()
  #spec: EngineSpec
  #byPriority: number[] = []
  #interactive = 0
  /** Set by the operator. */
  isDrained = false
  /** Set by the engine's own reports. */
  hasReportedLeaving = false

  constructor (spec: EngineSpec) {
    this.#spec = spec
  }

  get id (): EngineId { return this.#spec.id }
  get spec (): EngineSpec { return this.#spec }
  /** Number of streams granted here, including paused ones. */
  get load (): number { return this.streams.size }
  /** Number of interactive streams. */
  get interactive (): number { return this.#interactive }
  get isLeaving (): boolean { return this.isDrained || this.hasReportedLeaving }
  get batchLimit (): number { return this.#spec.places + this.#spec.floorPlaces }

  set spec (spec: EngineSpec) { this.#spec = spec }

  add (stream: GrantedStream): void {
    this.streams.set(stream.request, stream)
    this.#byPriority[stream.priority] = (this.#byPriority[stream.priority] ?? 0) + 1
    if (!stream.mayWait) this.#interactive += 1
  }

  remove (request: RequestId): GrantedStream | undefined {
    const stream = this.streams.get(request)
    if (stream === undefined) return undefined
    this.streams.delete(request)
    this.#byPriority[stream.priority] -= 1
    if (!stream.mayWait) this.#interactive -= 1
    return stream
  }

  /** True if the engine's health lets a request of the box go there; null: of a box without failures. */
  isOpenTo (box: BoxId | null): boolean {
    const { state } = this.health
    if (state === 'out' || (state === 'probing' && this.load > 0)) return false
    if (box === null) return true
    switch (this.health.getOwnState(box)) {
      case 'live': return true
      case 'out': return false
      case 'probing': return ![...this.streams.values()].some(stream => stream.box === box)
    }
  }

  /** Number of streams of this priority or a higher one. */
  countAtLeast (priority: number): number {
    let count = 0
    for (let i = 0; i <= priority && i < this.#byPriority.length; i++) count += this.#byPriority[i] ?? 0
    return count
  }

  /**
   * True if a request of this priority can run now. An interactive one can use
   * `places` and pauses lower streams if the batch is full. A deferrable one
   * uses free capacity only, so it never pauses a stream.
   */
  hasPlace (priority: number, mayWait: boolean): boolean {
    if (mayWait) return this.load < this.batchLimit
    if (this.countAtLeast(priority) >= this.#spec.places) return false
    return this.load < this.batchLimit * maxOversubscription
  }

  /** The stream that the engine will pause when one of `priority` joins a full batch. */
  findStreamToPause (priority: number): GrantedStream | undefined {
    if (this.load < this.batchLimit) return undefined
    let last: GrantedStream | undefined
    for (const stream of this.streams.values()) {
      if (stream.priority <= priority) continue
      if (last === undefined || stream.priority >= last.priority) last = stream
    }
    return last
  }
}
