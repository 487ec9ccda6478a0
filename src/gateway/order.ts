import type { KeyedWorkspace, Route, ServiceName, Work } from '../core/index.js'
import type { CallerWords } from '../protocol/index.js'

/** A request as it was let in: read whole, with its route and its workspace. */
export interface Order {
  readonly words: CallerWords
  readonly route: Route
  readonly service: ServiceName
  readonly workspace: KeyedWorkspace | null
  readonly work: Work
  /** Version of the routing document that let it in. */
  readonly version: number
  readonly method: string
  /** The name of the host that the caller asked. */
  readonly host: string
  readonly url: string
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  /** On the box's rising clock, ms. */
  readonly arrivedAt: number
  /** When the request is given up: the caller's or the route's time is over. */
  readonly holdUntil: number
}
