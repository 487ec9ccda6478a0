import { performance } from 'node:perf_hooks'
import type { EngineModel } from './engine-model.js'
import { Silence } from './silence.js'

/** Receives the results of an engine's steps. */
export interface EngineLoopHost {
  /** A stream generated a token. */
  noteToken (id: string): void
  /** A stream is complete; called after `noteToken` for its last token. */
  noteFinished (id: string): void
}

/** Shorter waits use `setImmediate`, ms: the resolution of timers is no finer. */
const minTimerMs = 0.5

/** Runs the steps of an engine model in real time for as long as it has streams. During a silence no step ends. */
export class EngineLoop {
  /** Duration of the last step, ms. */
  lastStepMs = 0
  #model: EngineModel
  #silence: Silence
  #host: EngineLoopHost
  #isStepping = false

  constructor (model: EngineModel, host: EngineLoopHost, silence = new Silence()) {
    this.#model = model
    this.#silence = silence
    this.#host = host
  }

  /** Starts the next step unless one is in progress. Must be called after adding a stream. */
  runNextStep (): void {
    if (this.#isStepping || this.#model.isIdle) return
    this.#isStepping = true
    const startedAt = performance.now()
    const { ms, tokens, finished } = this.#model.step()
    this.lastStepMs = ms
    const deliver = async (): Promise<void> => {
      await this.#silence.awaitEnd()
      this.#isStepping = false
      for (const id of tokens) this.#host.noteToken(id)
      for (const id of finished) this.#host.noteFinished(id)
      this.runNextStep()
    }
    const remainingMs = ms - (performance.now() - startedAt)
    if (remainingMs < minTimerMs) setImmediate(() => { void deliver() })
    else setTimeout(() => { void deliver() }, remainingMs)
  }
}
