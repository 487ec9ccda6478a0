/** Pins a stream to the software version that began it, once its first event was relayed in this request or an earlier one. */
import { isSameOrigin } from '../core/index.js'
import type { EndpointRecord, EndpointView, StreamOrigin } from '../core/index.js'
import type { AdmittedRequest } from './admitted-request.js'
import { identifyStream } from './fingerprint.js'
import type { LiveStream, StreamOrigins } from './stream-origins.js'

export class VersionPin {
  #origins: StreamOrigins
  #request: AdmittedRequest
  #origin: StreamOrigin | null
  #live: LiveStream | null = null

  constructor (origins: StreamOrigins, request: AdmittedRequest) {
    this.#origins = origins
    this.#request = request
    this.#origin = request.resumed?.origin ?? null
  }

  /** Where the stream began; null before its first event. */
  get origin (): StreamOrigin | null { return this.#origin }

  /** True if the request may be sent to an endpoint. */
  mayUse (record: EndpointRecord): boolean { return this.#origin === null || (isSameOrigin(this.#origin, record) && this.#origins.isKnown(this.#origin)) }

  /** Notes that events are relayed from an endpoint; false if they may not be, as another version began the stream. */
  accept (origin: StreamOrigin): boolean {
    if (this.#origin !== null && !isSameOrigin(this.#origin, origin)) return false
    this.#origin = origin
    if (this.#live === null && this.#request.route.resumable) this.#live = this.#origins.begin(this.#key, origin)
    return true
  }

  /** The state of the version's endpoints among those of its service: `gone` if it had some and none takes new requests any more, `unknown` if this box knows of none, or the stream began at an endpoint whose version was not known yet. */
  findState (views: readonly EndpointView[]): 'serving' | 'gone' | 'unknown' {
    if (this.#origin === null || views.some(({ record }) => record.stage === 'ready' && this.mayUse(record))) return 'serving'
    return this.#origins.hasSeen(this.#origin) && this.#origins.isKnown(this.#origin) ? 'gone' : 'unknown'
  }

  /** Notes the outcome of a search that found no endpoint, if the stream has begun. */
  noteNotMoved (why: string): void {
    if (this.#origin !== null) this.#origins.noteNotMoved(this.#request.headers.requestId, this.#origin, why)
  }

  /** Notes that the request has its final answer. */
  end (): void {
    if (this.#live !== null) this.#origins.end(this.#live)
    this.#live = null
  }

  get #key () {
    const { resumed, workspace, route, headers } = this.#request
    return resumed?.key ?? identifyStream(workspace, route, headers.requestId)
  }
}
