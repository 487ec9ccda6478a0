import type { BoxId, ClassName, EngineId, RequestId, WorkspaceName } from './ids.js'
import type { EngineSpec } from './scheduler-config.js'
import { EngineHealth } from './engine-health.js'
import { PrefixBelief } from './prefix-belief.js'

/** A stream that was granted at an engine. */
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

const oversubscription = 2

/** One engine as its scheduler knows it: what was granted there, and belief. */
export class EngineState {
  readonly health = new EngineHealth()
  readonly prefixes = new PrefixBelief()
  readonly streams = new Map<RequestId, GrantedStream>()
  #spec: EngineSpec
  #byPriority: number[] = []
  #quick = 0
  /** An operator's word. */
  drained = false
  /** The engine's own word. */
  saysLeaving = false

  constructor (spec: EngineSpec) {
    this.#spec = spec
  }

  get id (): EngineId { return this.#spec.id }
  get spec (): EngineSpec { return this.#spec }
  /** Streams granted here, paused ones included. */
  get load (): number { return this.streams.size }
  /** Streams of classes that may not wait. */
  get quick (): number { return this.#quick }
  get leaving (): boolean { return this.drained || this.saysLeaving }
  get batchLimit (): number { return this.#spec.places + this.#spec.floorPlaces }

  set spec (spec: EngineSpec) { this.#spec = spec }

  add (stream: GrantedStream): void {
    this.streams.set(stream.request, stream)
    this.#byPriority[stream.priority] = (this.#byPriority[stream.priority] ?? 0) + 1
    if (!stream.mayWait) this.#quick += 1
  }

  remove (request: RequestId): GrantedStream | undefined {
    const stream = this.streams.get(request)
    if (stream === undefined) return undefined
    this.streams.delete(request)
    this.#byPriority[stream.priority] -= 1
    if (!stream.mayWait) this.#quick -= 1
    return stream
  }

  /** Streams of this priority or a higher one. */
  countAtLeast (priority: number): number {
    let count = 0
    for (let i = 0; i <= priority && i < this.#byPriority.length; i++) count += this.#byPriority[i] ?? 0
    return count
  }

  /**
   * True where a request of this priority can run now. One that may not wait
   * can use `places`, and pauses lower streams if the batch is full. One that
   * may wait takes only free room, so it never pauses anything.
   */
  hasPlace (priority: number, mayWait: boolean): boolean {
    if (mayWait) return this.load < this.batchLimit
    if (this.countAtLeast(priority) >= this.#spec.places) return false
    return this.load < this.batchLimit * oversubscription
  }

  /** The stream that the engine pauses when one of `priority` joins a full batch. */
  findYielding (priority: number): GrantedStream | undefined {
    if (this.load < this.batchLimit) return undefined
    let last: GrantedStream | undefined
    for (const stream of this.streams.values()) {
      if (stream.priority <= priority) continue
      if (last === undefined || stream.priority >= last.priority) last = stream
    }
    return last
  }
}
