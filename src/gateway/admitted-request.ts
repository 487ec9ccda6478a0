import type { KeyedWorkspace, Route, ServiceName, RequestProfile } from '../core/index.js'
import type { CallerHeaders } from '../protocol/index.js'

/** An accepted request: fully read, with its route and workspace. */
export interface AdmittedRequest {
  readonly headers: CallerHeaders
  readonly route: Route
  readonly service: ServiceName
  readonly workspace: KeyedWorkspace | null
  readonly work: RequestProfile
  /** Version of the routing document that was active on arrival. */
  readonly version: number
  readonly method: string
  /** The `host` header. */
  readonly host: string
  readonly url: string
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  /** Monotonic time of the box, ms. */
  readonly arrivedAt: number
  /** The deadline, set by the caller or the route, whichever is earlier: monotonic time of the box, ms. */
  readonly deadlineAt: number
}
