import { EngineLoop } from './engine-loop.js'
import { EngineModel } from './engine-model.js'
import type { EngineShape } from './engine-model.js'

/** How an endpoint's engine behaves. */
export interface PacedEngineShape extends EngineShape {
  readonly tokensPerEvent: number
}

interface PacedStream {
  generatedTokens: number
  /** Events that were taken already. */
  requestedEvents: number
  resolveWait: (() => void) | null
}

/**
 * An engine of limited speed that reads prompts in the order in which they
 * came: streams wait for their turn, then for each of their events.
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

  /** Begins with a stream; `id` must be new. */
  startStream (id: string, promptTokens: number, events: number): void {
    this.#streams.set(id, { generatedTokens: 0, requestedEvents: 0, resolveWait: null })
    this.#model.add({ id, priority: 0, promptTokens, prefix: null, tokens: events * this.#shape.tokensPerEvent })
    this.#loop.runNextStep()
  }

  /** Resolves once the next event of a stream is made, or the stream was dropped. */
  async awaitEvent (id: string): Promise<void> {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    stream.requestedEvents += 1
    while (this.#streams.has(id) && stream.generatedTokens < stream.requestedEvents * this.#shape.tokensPerEvent) {
      await new Promise<void>(resolve => { stream.resolveWait = resolve })
    }
  }

  /** Ends a stream; does nothing for one that is over. */
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
