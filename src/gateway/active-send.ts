import type { EndpointView, EventGap, EventRun, Fleet, PlacedRequest } from '../core/index.js'
import type { AnswerHead, EndpointCall } from './endpoint-call.js'
import type { EventSplitter } from './event-splitter.js'
import type { Attempt } from './exchange-summary.js'

/** A request in flight to one endpoint, with the part of the answer received so far. */
export interface ActiveSend {
  readonly call: EndpointCall
  readonly view: EndpointView
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

/** Notes the time before the latest event, ms, and before those that preceded it; null for none. */
export function noteGaps ({ view, run }: ActiveSend, fleet: Fleet, latestMs: number | null, complete: EventGap | null, now: number): void {
  if (!fleet.contention.isOn && latestMs !== null) fleet.noteGap(view, latestMs, now)
  if (fleet.contention.isOn && complete !== null) fleet.noteEvents(view, run, complete, now)
}
