import type { KeyedWorkspace, Route, ServiceName, StreamKey, StreamOrigin, RequestProfile } from '../core/index.js'
import type { CallerHeaders } from '../protocol/index.js'

/** A stream that its caller takes up again. */
export interface ResumedStream {
  /** Null if the caller didn't name the request that began it. */
  readonly key: StreamKey | null
  readonly origin: StreamOrigin
}

/** An accepted request: fully read, with its route and workspace. */
export interface AdmittedRequest {
  readonly headers: CallerHeaders
  /** The stream of which it asks for the rest; null if it asks for a new answer. */
  readonly resumed: ResumedStream | null
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
