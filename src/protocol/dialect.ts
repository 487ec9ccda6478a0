/**
 * A dialect maps the HTTP interface of callers, endpoints and operators (header
 * names, body formats, paths) to the types below; the rest of the code uses only
 * these types. The native dialect is `native-dialect.ts`; an adapter to another
 * platform defines its own.
 */
import type { EndpointId, EndpointRecord, EndpointStage, PromptCost, RoutingDocument } from '../core/index.js'
import type { DutyCall, DutyLease, OutgoingRequest } from './duty-call.js'
import type { EndpointNotices } from './endpoint-notices.js'
import type { HeaderMap } from './header-map.js'

/** Values read from the headers of a caller's request. */
export interface CallerHeaders {
  /** The caller's id for the request; empty if missing. */
  readonly requestId: string
  /** How long the caller waits for the answer, ms; null if not given. */
  readonly deadlineMs: number | null
  /** The API key of a workspace; null for none. */
  readonly key: string | null
  readonly cost: PromptCost | null
  /** Id of the last event received from a broken stream; null for none. */
  readonly lastEvent: string | null
  /** Id of the request that received the first event of that stream; null if not given. */
  readonly resumes: string | null
}

/** Values that the gateway adds as headers to a request to an endpoint. */
export interface EndpointRequestHeaders {
  readonly requestId: string
  /** Time left until the caller's deadline, ms. */
  readonly deadlineMs: number
  /** Id of the addressed endpoint: a different endpoint at the same address must refuse the request. */
  readonly endpoint: string
  readonly workspace: string | null
  /** Scheduling priority, 0 is served first; null where the endpoint does not use it. */
  readonly priority: number | null
  /** "HOST:PORT" of another endpoint to fetch the cached part of the prompt from; null to compute all of it. */
  readonly fetchFrom: string | null
  /** Id of the event after which a stream is resumed; null for a new stream. */
  readonly lastEvent: string | null
}

/** Values read from the status and headers of an endpoint's answer. */
export interface AnswerHeaders {
  /** Id of the answered request; empty if missing. */
  readonly requestId: string
  /** True where the endpoint states that it neither ran the request nor will run it. */
  readonly isNotRun: boolean
  /** True where a different endpoint than the addressed one answered. */
  readonly isMisdirected: boolean
  /** True where the answer has the header that every complete answer of an endpoint carries, or where the dialect defines none. */
  readonly isMarked: boolean
  readonly notices: EndpointNotices
}

/** A call to the HTTP API of a registry. */
export type RegistryCall =
  | { readonly type: 'put-document' }
  | { readonly type: 'read-document' }
  | { readonly type: 'register', readonly endpoint: EndpointId }
  | { readonly type: 'deregister', readonly endpoint: EndpointId }
  /** A call for an endpoint whose id can't be one. */
  | { readonly type: 'invalid', readonly mistake: string }
  /** Lists the requests that are no longer sent because endpoints crashed while running them. */
  | { readonly type: 'list-quarantine' }
  /** Allows one of them to be sent again. */
  | { readonly type: 'lift-quarantine', readonly fingerprint: string }
  /** Lists the request counts of the latest usage windows by workspace. */
  | { readonly type: 'list-usage' }
  /** Lists the endpoint notices that this registry knows. */
  | { readonly type: 'list-notices' }
  /** Lists the gateways that have lost paths to endpoints. */
  | { readonly type: 'list-lost-paths' }
  | { readonly type: 'unknown' }

/** Thrown for a document that can't be parsed or is invalid; carries all mistakes. */
export class DocumentError extends Error {
  readonly mistakes: readonly string[]

  constructor (mistakes: readonly string[]) {
    super(mistakes.join('; '))
    this.mistakes = mistakes
  }
}

/** Translates between HTTP and the types of this module. All functions are pure. */
export interface Dialect {
  /** Path of a gateway's readiness check. */
  readonly readyPath: string
  readCaller (headers: HeaderMap): CallerHeaders
  /** Raw headers for the endpoint: the caller's, in their order and case, without hop-by-hop and reserved headers, followed by those for `values`. */
  composeRequest (rawHeaders: readonly string[], values: EndpointRequestHeaders): string[]
  /** `wallMs`: Unix time at which the answer arrived. */
  readAnswer (status: number, headers: HeaderMap, wallMs: number): AnswerHeaders
  /** Resolution of Retry-After, ms; times are rounded up to it. */
  readonly retryAfterStepMs: number
  /** The value of Retry-After, in seconds. */
  formatRetryAfter (ms: number): string
  /** True if one of these features marks a deployment as contended. */
  isContended (features: readonly string[]): boolean
  readRegistryCall (method: string, path: string): RegistryCall
  /** Throws `DocumentError` for an invalid document. */
  decodeDocument (text: string): RoutingDocument
  /** Throws `DocumentError` for an invalid registration. */
  decodeRegistration (endpoint: EndpointId, text: string): EndpointRecord
  composeDuty (call: DutyCall, lease: DutyLease): OutgoingRequest
  /** The record for an endpoint that deregisters itself. */
  composeDeregistration (endpoint: EndpointId, stage: EndpointStage): EndpointRecord
}

/** Headers that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1). */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Names listed in a message's Connection header, in lower case. */
export function listConnectionOptions (rawHeaders: readonly string[]): Set<string> {
  const options = new Set<string>()
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[i + 1].split(',')) options.add(name.trim().toLowerCase())
  }
  return options
}

/** Copies raw headers except for hop-by-hop headers and those for which `isDropped` is true; `name` is in lower case. */
export function copyHeaders (rawHeaders: readonly string[], isDropped: (name: string) => boolean): string[] {
  const connectionOptions = listConnectionOptions(rawHeaders)
  const copied: string[] = []
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i].toLowerCase()
    if (hopByHopHeaders.has(name) || connectionOptions.has(name) || isDropped(name)) continue
    copied.push(rawHeaders[i], rawHeaders[i + 1])
  }
  return copied
}
