import { EngineLoop } from './engine-loop.js'
import { EngineModel } from './engine-model.js'
import type { EngineShape } from './engine-model.js'

/** Size and speed of an endpoint's engine. */
export interface PacedEngineShape extends EngineShape {
  readonly tokensPerEvent: number
}

interface PacedStream {
  generatedTokens: number
  /** Number of events that were requested through `awaitEvent`. */
  requestedEvents: number
  resolveWait: (() => void) | null
}

/**
 * Paces the events of an endpoint's streams like an engine of limited speed:
 * prompts are prefilled in order of arrival, then each event waits for its tokens.
 */
export class PacedEngine {
  #shape: PacedEngineShape
  #model: EngineModel
  #loop: EngineLoop
  #streams = new Map<string, PacedStream>()

  constructor (shape: PacedEngineShape) {
    this.#shape = shape
    this.#model = new EngineModel(shape)
    this.#loop = new EngineLoop(this.#model, { noteToken: id => this.#noteToken(id), noteFinished: () => {} })
  }

  /** Starts a stream; `id` must be new. */
  startStream (id: string, promptTokens: number, events: number): void {
    this.#streams.set(id, { generatedTokens: 0, requestedEvents: 0, resolveWait: null })
    this.#model.add({ id, priority: 0, promptTokens, prefix: null, tokens: events * this.#shape.tokensPerEvent })
    this.#loop.runNextStep()
  }

  /** Resolves once the tokens of a stream's next event are generated, or the stream is cancelled. */
  async awaitEvent (id: string): Promise<void> {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    stream.requestedEvents += 1
    while (this.#streams.has(id) && stream.generatedTokens < stream.requestedEvents * this.#shape.tokensPerEvent) {
      await new Promise<void>(resolve => { stream.resolveWait = resolve })
    }
  }

  /** Cancels a stream; a no-op for unknown streams. */
  cancelStream (id: string): void {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    this.#streams.delete(id)
    this.#model.remove(id)
    stream.resolveWait?.()
  }

  #noteToken (id: string): void {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    stream.generatedTokens += 1
    stream.resolveWait?.()
  }
}
