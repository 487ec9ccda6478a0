/** Measurements over all engines of a service, shared by the views of its engines. */
import { ContentionSwitch } from './contention.js'
import { FirstEventModel } from './first-event-model.js'
import { RateMeter } from './rate-meter.js'
import { rateWindowMs } from './kind-tracker.js'
import { Lateness } from './lateness.js'
import { LongestAnswers } from './longest-answers.js'
import { ReadingPause } from './reading-pause.js'
import { SlotReserve } from './slot-reserve.js'

export interface EngineStats {
  readonly firstEvent: FirstEventModel
  /** Pauses of streams while prompts are read beside them. */
  readonly readingPause: ReadingPause
  readonly lateness: Lateness
  /** Prompt tokens of this box's requests whose first event has arrived. */
  readonly readMeter: RateMeter
  /** Of a plain service, as the next. */
  readonly slotReserve: SlotReserve
  readonly longestAnswers: LongestAnswers
}

/** Initial values before anything was measured. */
export function createEngineStats (contention = new ContentionSwitch()): EngineStats {
  return {
    firstEvent: new FirstEventModel(contention),
    readingPause: new ReadingPause(),
    lateness: new Lateness(),
    readMeter: new RateMeter(rateWindowMs),
    slotReserve: new SlotReserve(),
    longestAnswers: new LongestAnswers()
  }
}
