/**
 * A model of an engine with continuous batching. It has no clock: `step` returns
 * how long a step takes, and the caller waits in real or in virtual time.
 * A step takes a base time, plus time per stream, per context token in the KV
 * cache and per prefilled prompt token. Streams with a lower priority number
 * run first; the others are preempted, and their KV is evicted where it doesn't fit.
 */

/** Size and speed of an engine. Times in ms. */
export interface EngineShape {
  readonly batch: number
  readonly baseMs: number
  readonly streamMs: number
  /** Step time per 1,000 tokens of context in the batch. */
  readonly contextMs: number
  /** Step time per 1,000 prompt tokens that are not cached. */
  readonly prefillMs: number
  readonly kvTokens: number
  /** Prompt tokens that need no prefill where the prefix is cached. */
  readonly prefixTokens: number
  readonly prefixEntries: number
}

/** A request to generate a stream of tokens. */
export interface StreamRequest {
  readonly id: string
  readonly priority: number
  readonly promptTokens: number
  readonly prefix: string | null
  /** Number of tokens to generate. */
  readonly tokens: number
}

interface ModelStream {
  readonly request: StreamRequest
  readonly arrivalIndex: number
  remainingPrefill: number
  generatedTokens: number
  hasKv: boolean
}

/** Result of one step. */
export interface StepResult {
  readonly ms: number
  /** Ids of the streams that generated a token. */
  readonly tokens: readonly string[]
  /** Ids of the streams that are complete. */
  readonly finished: readonly string[]
}

const maxPrefillTokensPerStep = 2048

export class EngineModel {
  #shape: EngineShape
  #streams = new Map<string, ModelStream>()
  #batch: ModelStream[] = []
  #isBatchStale = false
  #nextArrivalIndex = 0
  #cachedPrefixes = new Map<string, true>()
  #evictedPrefixes: string[] = []
  slowFactor = 1
  /** Total duration of all steps, ms. */
  busyMs = 0

  constructor (shape: EngineShape) {
    this.#shape = shape
  }

  get running (): number { return Math.min(this.#streams.size, this.#shape.batch) }
  get waiting (): number { return this.#streams.size - this.running }
  get isIdle (): boolean { return this.#streams.size === 0 }
  get kvUsed (): number {
    let used = 0
    for (const stream of this.#streams.values()) if (stream.hasKv) used += countContextTokens(stream)
    return Math.min(1, used / this.#shape.kvTokens)
  }

  add (request: StreamRequest): void {
    const cached = request.prefix !== null && this.#cachedPrefixes.has(request.prefix) ? this.#shape.prefixTokens : 0
    if (request.prefix !== null) this.#cachePrefix(request.prefix)
    const remainingPrefill = Math.max(1, request.promptTokens - cached)
    this.#streams.set(request.id, { request, arrivalIndex: this.#nextArrivalIndex, remainingPrefill, generatedTokens: 0, hasKv: false })
    this.#nextArrivalIndex += 1
    this.#isBatchStale = true
  }

  /** Removes a stream. Returns the tokens generated so far, or undefined for an unknown stream. */
  remove (id: string): number | undefined {
    const stream = this.#streams.get(id)
    if (stream === undefined) return undefined
    this.#streams.delete(id)
    this.#isBatchStale = true
    return stream.generatedTokens
  }

  step (): StepResult {
    if (this.#isBatchStale) this.#chooseBatch()
    const tokens: string[] = []
    const finished: string[] = []
    let prefill = 0
    let context = 0
    for (const stream of this.#batch) {
      if (stream.remainingPrefill > 0) {
        const chunk = Math.min(stream.remainingPrefill, maxPrefillTokensPerStep - prefill)
        stream.remainingPrefill -= chunk
        prefill += chunk
        if (stream.remainingPrefill > 0) continue
      }
      context += countContextTokens(stream)
      stream.generatedTokens += 1
      tokens.push(stream.request.id)
      if (stream.generatedTokens >= stream.request.tokens) finished.push(stream.request.id)
    }
    for (const id of finished) this.remove(id)
    const { baseMs, streamMs, contextMs, prefillMs } = this.#shape
    const ms = (baseMs + this.#batch.length * streamMs + context * contextMs / 1000 + prefill * prefillMs / 1000) * this.slowFactor
    this.busyMs += ms
    return { ms, tokens, finished }
  }

  /** Returns the prefixes that were evicted from the cache since the last call. */
  drainEvicted (): string[] {
    const evicted = this.#evictedPrefixes
    this.#evictedPrefixes = []
    return evicted
  }

  #chooseBatch (): void {
    this.#isBatchStale = false
    const all = [...this.#streams.values()]
    all.sort((a, b) => a.request.priority - b.request.priority || a.arrivalIndex - b.arrivalIndex)
    this.#batch = all.slice(0, this.#shape.batch)
    let kv = 0
    for (const stream of all) {
      kv += countContextTokens(stream)
      if (kv <= this.#shape.kvTokens) continue
      this.#evictKv(stream)
    }
    for (const stream of this.#batch) stream.hasKv = true
  }

  // A stream whose KV was evicted has to prefill its prompt and its tokens so far again.
  #evictKv (stream: ModelStream): void {
    if (!stream.hasKv) return
    stream.hasKv = false
    stream.remainingPrefill = countContextTokens(stream)
  }

  #cachePrefix (prefix: string): void {
    this.#cachedPrefixes.delete(prefix)
    this.#cachedPrefixes.set(prefix, true)
    if (this.#cachedPrefixes.size <= this.#shape.prefixEntries) return
    const [oldest] = this.#cachedPrefixes.keys()
    this.#cachedPrefixes.delete(oldest)
    this.#evictedPrefixes.push(oldest)
  }
}

function countContextTokens (stream: ModelStream): number {
  return stream.request.promptTokens + stream.generatedTokens
}
