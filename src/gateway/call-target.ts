import type { EndpointView, PromptPlan } from '../core/index.js'
import type { Dialect } from '../protocol/index.js'
import type { CallTarget } from './endpoint-call.js'
import type { AdmittedRequest } from './admitted-request.js'
import type { SendPath } from './send-path.js'

/** Parameters of one send of a request. */
export interface SendPlan {
  readonly dialect: Dialect
  readonly path: SendPath
  readonly view: EndpointView
  readonly plan: PromptPlan
  /** Id of the last event that the caller has received; null to request the answer from its start. */
  readonly lastEvent: string | null
  /** The box's monotonic time, ms. */
  readonly now: number
}

/** Composes the HTTP request to an endpoint. */
export function composeTarget (request: AdmittedRequest, { dialect, path, view, plan: { fetch }, lastEvent, now: at }: SendPlan): CallTarget {
  const headers = dialect.composeRequest(request.rawHeaders, {
    requestId: request.headers.requestId,
    deadlineMs: request.deadlineAt - at,
    endpoint: view.id,
    workspace: request.workspace?.name ?? null,
    priority: request.work.cost === null ? null : request.work.priority,
    fetchFrom: fetch === null ? null : `${fetch.from.record.host}:${fetch.from.record.port}`,
    lastEvent
  })
  const { host, port, agent, relay } = path
  return { host, port, agent, method: request.method, path: request.url, headers: [...headers, ...path.headers], body: request.body, requestId: request.headers.requestId, isRelayed: relay !== null }
}
