import type { EndpointView, EventRun, Fleet, PlacedRequest, StreamOrigin } from '../core/index.js'
import type { AnswerHead, EndpointCall } from './endpoint-call.js'
import type { EventSplitter } from './event-splitter.js'
import type { SendPath } from './send-path.js'
import type { Attempt } from './exchange-summary.js'

/** A request in flight to one endpoint, with the part of the answer received so far. */
export interface ActiveSend {
  readonly call: EndpointCall
  readonly view: EndpointView
  /** Service and software version of the endpoint when the request was sent. */
  readonly origin: StreamOrigin
  readonly path: SendPath
  readonly placed: PlacedRequest
  readonly attempt: Attempt
  /** The run of events in which the engine's speed is measured. */
  readonly run: EventRun
  head: AnswerHead | null
  /** Null if the answer is plain rather than relayed event by event. */
  splitter: EventSplitter | null
}

/** Reads on from an endpoint that was not read for a while, and so is not taken for silent. */
export function resumeSend (sent: ActiveSend | null, now: number): void {
  if (sent === null) return
  sent.placed.lastEventAt = now
  sent.call.resume()
}

/** Notes that events were received together; `gapMs`: the time before a single one, ms, null for the first and for several. */
export function noteGaps ({ view, run, placed }: ActiveSend, fleet: Fleet, events: number, gapMs: number | null, now: number): void {
  if (fleet.contention.isOn) fleet.gaps.noteEvents(view, run, events, now)
  else if (gapMs !== null) fleet.gaps.noteGap(view, placed, gapMs, now)
}
