import { performance } from 'node:perf_hooks'
import type { EngineModel } from './engine-model.js'

/** What becomes of an engine's steps. */
export interface EngineLoopHost {
  /** A stream got a token. */
  noteToken (id: string): void
  /** A stream's answer is whole; its last token was given. */
  noteFinished (id: string): void
}

/** Below this a step's end is not waited for by a timer, ms: timers are no finer. */
const minTimerMs = 0.5

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
  runNextStep (): void {
    if (this.#isStepping || this.#model.isIdle) return
    this.#isStepping = true
    const startedAt = performance.now()
    const { ms, tokens, finished } = this.#model.step()
    this.lastStepMs = ms
    const deliver = (): void => {
      this.#isStepping = false
      for (const id of tokens) this.#host.noteToken(id)
      for (const id of finished) this.#host.noteFinished(id)
      this.runNextStep()
    }
    const remainingMs = ms - (performance.now() - startedAt)
    if (remainingMs < minTimerMs) setImmediate(deliver)
    else setTimeout(deliver, remainingMs)
  }
}
