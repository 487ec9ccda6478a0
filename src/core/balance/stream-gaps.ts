/**
 * Measures engines by the times between events of their streams. A pause of an engine is told from the delay of a single
 * stream, as by a lost packet that is sent again: all streams of an engine pause while it reads a prompt, so if another
 * one had two events within the pause, the engine was not what paused.
 *
 * The load that this answers: one packet in forty is lost between two zones. A few delays of 200 ms at engines that pause
 * for 150 ms made streams that tolerate 200 ms count as sensitive for a minute, so that their prompts were read beside
 * streams that tolerate 120 ms.
 */
import type { EndpointView } from './endpoint-view.js'
import type { EventRun } from './event-run.js'
import type { OtherBoxes } from './other-boxes.js'
import type { PlacedRequest } from './placed-request.js'

/** The time between the two latest events of a stream. */
interface Gap {
  readonly from: number
  readonly to: number
}

/** A gap within another one counts against it if it is shorter by at least this factor: events of the same steps are equally far apart, but for delays on their way. */
const shorterRatio = 0.75
/** How long the latest gap of a stream is remembered, ms: longer than pauses of engines. */
const retentionMs = 2000

export class StreamGaps {
  #others: OtherBoxes
  #latest = new WeakMap<EndpointView, Map<PlacedRequest, Gap>>()

  /** `others`: what is known of the other boxes. */
  constructor (others: OtherBoxes) {
    this.#others = others
  }

  /** Records the time between two events of a stream at an endpoint, ms; ignored while the load of other boxes is unknown, and if the stream alone was delayed or the first event was elsewhere. */
  noteGap (view: EndpointView, stream: PlacedRequest, gapMs: number, at: number): void {
    // A stream that moved here after a failure elsewhere: the time of the move is no pause of this endpoint.
    if (at - gapMs <= stream.sentAt) return
    const isDelayed = this.#isDelayedAlone(view, stream, gapMs, at)
    if (!isDelayed && this.#others.isComplete(at)) view.noteGap(gapMs, at)
  }

  /** Records events of a stream that were received together, used instead while the measures against contention are on. */
  noteEvents (view: EndpointView, run: EventRun, events: number, at: number): void {
    if (this.#others.isComplete(at)) view.noteEvents(run, events, at)
    else run.end()
  }

  // True if other streams of this box show that the engine went on within the gap, which is remembered.
  #isDelayedAlone (view: EndpointView, stream: PlacedRequest, gapMs: number, at: number): boolean {
    const latest = this.#latest.get(view) ?? new Map<PlacedRequest, Gap>()
    this.#latest.set(view, latest)
    const from = at - gapMs
    let isDelayed = false
    for (const [other, gap] of latest) {
      if (at - gap.to > retentionMs) latest.delete(other)
      else if (other !== stream && gap.from >= from && gap.to - gap.from < gapMs * shorterRatio) isDelayed = true
    }
    latest.set(stream, { from, to: at })
    return isDelayed
  }
}
