import type { ClassQueue } from './class-queue.js'
import type { EngineState } from './engine-state.js'

/** What boxes tell each other of a shard: five numbers, whatever its size. */
export interface ShardLoad {
  /** Places that requests which may not wait can use. */
  readonly places: number
  /** Streams of classes that may not wait. */
  readonly quick: number
  /** Streams of classes that may wait, paused ones included. */
  readonly patient: number
  /** Requests queued that may not wait. */
  readonly queued: number
  /** Requests queued that may wait. */
  readonly queuedPatient: number
}

/** The load of a shard's usable engines and its queues. */
export function sumLoad (engines: readonly EngineState[], queues: readonly ClassQueue[]): ShardLoad {
  let places = 0
  let quick = 0
  let patient = 0
  for (const engine of engines) {
    places += engine.spec.places
    quick += engine.quick
    patient += engine.load - engine.quick
  }
  let queued = 0
  let queuedPatient = 0
  for (const queue of queues) {
    if (queue.class.mayWait) queuedPatient += queue.size
    else queued += queue.size
  }
  return { places, quick, patient, queued, queuedPatient }
}
