import { performance } from 'node:perf_hooks'
import type { EngineModel } from './engine-model.js'

/** What becomes of an engine's steps. */
export interface EngineLoopHost {
  /** A stream got a token. */
  give (id: string): void
  /** A stream's answer is whole; its last token was given. */
  finish (id: string): void
}

/** Below this a step's end is not waited for by a timer, ms: timers are no finer. */
const leastTimerMs = 0.5

/** Drives an engine's model by the clock, for as long as it has streams. */
export class EngineLoop {
  /** How long the last step took, ms. */
  lastStepMs = 0
  #model: EngineModel
  #host: EngineLoopHost
  #isStepping = false

  constructor (model: EngineModel, host: EngineLoopHost) {
    this.#model = model
    this.#host = host
  }

  /** Goes on with the next step; to be called when a stream was added. */
  wake (): void {
    if (this.#isStepping || this.#model.isIdle) return
    this.#isStepping = true
    const began = performance.now()
    const { ms, tokens, finished } = this.#model.step()
    this.lastStepMs = ms
    const deliver = (): void => {
      this.#isStepping = false
      for (const id of tokens) this.#host.give(id)
      for (const id of finished) this.#host.finish(id)
      this.wake()
    }
    const left = ms - (performance.now() - began)
    if (left < leastTimerMs) setImmediate(deliver)
    else setTimeout(deliver, left)
  }
}
