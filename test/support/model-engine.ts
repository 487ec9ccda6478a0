/** A simulated engine that reads prompts in chunks between decoding steps, so that reading delays the events of its streams. */

/** How engines emit events, and how late these arrive. Times in ms. */
export interface StreamShape {
  /** Time between two events of a stream while nothing is read. */
  readonly eventMs: number
  readonly tokensPerEvent: number
  /** The most prompt tokens that are read before the next token of each stream. */
  readonly chunkTokens: number
  /** Time from the end of reading to the first event. */
  readonly startMs: number
  /** Upper bound of the random delay with which an event reaches the box. */
  readonly lateMs: number
}

export interface ModelStream {
  readonly events: number
  unread: number
  startAt: number
  tokens: number
}

export class ModelEngine<S extends ModelStream> {
  #queue: S[] = []
  #streams = new Set<S>()
  #at = 0
  #shape: StreamShape
  #tokensPerMs: number

  constructor (shape: StreamShape, tokensPerMs: number) {
    this.#shape = shape
    this.#tokensPerMs = tokensPerMs
  }

  get unread (): number { return this.#queue.reduce((sum, { unread }) => sum + unread, 0) }

  add (stream: S): void { this.#queue.push(stream) }

  /** Reads and decodes until `at`; calls `emit` for each event. */
  advance (at: number, emit: (stream: S, at: number) => void): void {
    while (this.#at < at) {
      if (this.#queue.length > 0) this.#readChunk(this.#queue[0])
      if (this.#streams.size > 0) this.#decode(emit)
      else if (this.#queue.length === 0) this.#at = at
    }
  }

  #readChunk (stream: S): void {
    const tokens = Math.min(this.#shape.chunkTokens, stream.unread)
    this.#at += tokens / this.#tokensPerMs
    stream.unread -= tokens
    if (stream.unread > 0) return
    stream.startAt = this.#at + this.#shape.startMs
    this.#streams.add(stream)
    this.#queue.shift()
  }

  #decode (emit: (stream: S, at: number) => void): void {
    const { eventMs, tokensPerEvent } = this.#shape
    this.#at += eventMs / tokensPerEvent
    for (const stream of this.#streams) {
      if (stream.startAt > this.#at) continue
      if (stream.tokens % tokensPerEvent === 0) emit(stream, this.#at)
      stream.tokens += 1
      if (stream.tokens > (stream.events - 1) * tokensPerEvent) this.#streams.delete(stream)
    }
  }
}
