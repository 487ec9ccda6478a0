import type { EngineEntry } from '../config/index.js'
import type { RequestId } from '../core/index.js'
import type { EngineStream } from './engine-stream.js'

/** One attempt at an engine. `placement` identifies the place that it holds there, since several attempts may be open at once. */
export interface ChatAttempt {
  readonly placement: RequestId
  readonly engine: EngineEntry
  readonly stream: EngineStream
  isSilent: boolean
}
