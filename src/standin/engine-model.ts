/**
 * A model of an engine that batches continuously. Time is an argument: the
 * stand-in drives it by timers, measurements drive it in virtual time.
 * A step takes a base time, a time for each stream, for the context in the KV
 * memory and for prompt tokens taken in. Streams of a smaller priority number
 * run first; others are paused, and lose their KV where it doesn't fit.
 */

/** How an engine behaves. Times in ms. */
export interface EngineShape {
  readonly batch: number
  readonly baseMs: number
  readonly streamMs: number
  /** For each 1,000 tokens of context in the batch. */
  readonly contextMs: number
  /** For each 1,000 prompt tokens that are not cached. */
  readonly prefillMs: number
  readonly kvTokens: number
  /** Prompt tokens of a prefix that the cache can save. */
  readonly prefixTokens: number
  readonly prefixEntries: number
}

/** A stream as it is given to the engine. */
export interface StreamRequest {
  readonly id: string
  readonly priority: number
  readonly promptTokens: number
  readonly prefix: string | null
  /** Tokens of the answer that are still wanted. */
  readonly tokens: number
}

interface ModelStream {
  readonly request: StreamRequest
  readonly arrivalIndex: number
  remainingPrefill: number
  generatedTokens: number
  hasKv: boolean
}

/** What one step gave. */
export interface StepResult {
  readonly ms: number
  /** Streams that got a token in this step. */
  readonly tokens: readonly string[]
  /** Streams whose answer is whole. */
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
  /** Steps' time so far, and the part of it spent on each stream by id. */
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

  /** Ends a stream; its tokens given so far, or undefined where it isn't here. */
  remove (id: string): number | undefined {
    const stream = this.#streams.get(id)
    if (stream === undefined) return undefined
    this.#streams.delete(id)
    this.#isBatchStale = true
    return stream.generatedTokens
  }

  /** Runs one step. */
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

  /** Prefixes dropped from the cache since the last call. */
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

  // A stream that lost its KV takes in its prompt and answer once more.
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
