import type { EndpointView, Placed } from '../core/index.js'
import type { AnswerHead, EndpointCall } from './endpoint-call.js'
import type { EventSplitter } from './event-splitter.js'
import type { Attempt } from './exchange-summary.js'

/** A request as it was sent to one endpoint, and what has come of its answer. */
export interface ActiveSend {
  readonly call: EndpointCall
  readonly view: EndpointView
  readonly placed: Placed
  readonly attempt: Attempt
  head: AnswerHead | null
  /** Of an answer that is held until it is whole. */
  chunks: Buffer[]
  size: number
  /** Null where the answer is not passed on event by event. */
  splitter: EventSplitter | null
}
