import { EngineLoop } from './engine-loop.js'
import { EngineModel } from './engine-model.js'
import type { EngineShape } from './engine-model.js'

/** How an endpoint's engine behaves. */
export interface PacedEngineShape extends EngineShape {
  readonly tokensPerEvent: number
}

interface PacedStream {
  given: number
  /** Events that were taken already. */
  taken: number
  wake: (() => void) | null
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
    this.#loop = new EngineLoop(this.#model, { give: id => this.#give(id), finish: () => {} })
  }

  /** Begins with a stream; `id` must be new. */
  begin (id: string, promptTokens: number, events: number): void {
    this.#streams.set(id, { given: 0, taken: 0, wake: null })
    this.#model.add({ id, priority: 0, promptTokens, prefix: null, tokens: events * this.#shape.tokensPerEvent })
    this.#loop.wake()
  }

  /** Resolves once the next event of a stream is made, or the stream was dropped. */
  async awaitEvent (id: string): Promise<void> {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    stream.taken += 1
    while (this.#streams.has(id) && stream.given < stream.taken * this.#shape.tokensPerEvent) {
      await new Promise<void>(resolve => { stream.wake = resolve })
    }
  }

  /** Ends a stream; does nothing for one that is over. */
  drop (id: string): void {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    this.#streams.delete(id)
    this.#model.remove(id)
    stream.wake?.()
  }

  #give (id: string): void {
    const stream = this.#streams.get(id)
    if (stream === undefined) return
    stream.given += 1
    stream.wake?.()
  }
}
