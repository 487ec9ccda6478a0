import type { ClassQueue } from './class-queue.js'
import type { EngineState } from './engine-state.js'

/** Load summary of a shard that boxes exchange: five numbers at any shard size. */
export interface ShardLoad {
  /** Places for interactive requests. */
  readonly places: number
  /** Interactive streams. */
  readonly quick: number
  /** Deferrable streams, including paused ones. */
  readonly patient: number
  /** Queued interactive requests. */
  readonly queued: number
  /** Queued deferrable requests. */
  readonly queuedPatient: number
}

/** Sums the load of a shard's usable engines and its queues. */
export function sumLoad (engines: readonly EngineState[], queues: readonly ClassQueue[]): ShardLoad {
  let places = 0
  let interactive = 0
  let deferrable = 0
  for (const engine of engines) {
    places += engine.spec.places
    interactive += engine.interactive
    deferrable += engine.load - engine.interactive
  }
  let queuedInteractive = 0
  let queuedDeferrable = 0
  for (const queue of queues) {
    if (queue.class.mayWait) queuedDeferrable += queue.size
    else queuedInteractive += queue.size
  }
  return { places, quick: interactive, patient: deferrable, queued: queuedInteractive, queuedPatient: queuedDeferrable }
}
