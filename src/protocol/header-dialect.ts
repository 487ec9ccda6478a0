/**
 * Dialects that differ only in names: headers carry a request's cost, workspace
 * and deadline, under names from a table.
 */
import { brandId, decodeHeaderText, encodeHeaderText, isEndpointId } from '../core/index.js'
import type { EndpointId, EndpointRecord, EndpointStage, PromptCost, PromptPart, RoutingDocument } from '../core/index.js'
import { composeDuty } from './duty-call.js'
import type { DutyCall, DutyNames, DutyLease, OutgoingRequest } from './duty-call.js'
import { copyHeaders } from './dialect.js'
import { readNotices } from './endpoint-notices.js'
import type { HeaderMap } from './header-map.js'
import type { AnswerHeaders, CallerHeaders, Dialect, EndpointRequestHeaders, RegistryCall } from './dialect.js'

/** The header names of a dialect; lookups ignore case. */
export interface HeaderNames {
  readonly requestId: string
  /** Time left until the caller's deadline, ms. */
  readonly deadline: string
  readonly lastEvent: string
  /** Id of the request that received the first event of the resumed stream. */
  readonly resumes: string
  /** "PROMPT,MAX": tokens of the prompt and the maximum to generate. */
  readonly tokens: string
  /** "ID:TOKENS,ID:TOKENS": the prompt's parts in order. */
  readonly parts: string
  readonly expectedEndpoint: string
  readonly workspace: string
  readonly priority: string
  /** "HOST:PORT" of the endpoint to fetch the cached part of the prompt from. */
  readonly fetchFrom: string
  /** In an answer: present where the endpoint did not run the request. */
  readonly notRun: string
  /** In an answer: present on every complete answer of an endpoint; empty where the dialect has no such header. */
  readonly mark: string
  /** In an answer: maximum requests/s from all boxes together. */
  readonly limit: string
  /** In an answer: "1" where the endpoint is shutting down. */
  readonly leaving: string
  /** In an answer: how many requests a brittle endpoint can refuse within a second. */
  readonly brittle: string
  /** Authentication scheme of the Authorization header. */
  readonly keyScheme: string
  /** Further headers to strip from callers' requests, as only gateways may send them to endpoints. */
  readonly reserved: readonly string[]
}

export interface CallPaths {
  readonly ready: string
  readonly document: string
  /** Prefix of the registration paths; followed by the endpoint's id. */
  readonly endpoints: string
}

/** What defines a dialect: its names and how it decodes documents. */
export interface DialectParts {
  readonly headers: HeaderNames
  readonly paths: CallPaths
  readonly duties: DutyNames
  /** Whether Retry-After has fractions of a second, an extension of the standard. */
  readonly fractionalRetryAfter: boolean
  /** Features that mark a contended deployment. */
  readonly contendedFeatures: readonly string[]
  decodeDocument (text: string): RoutingDocument
  decodeRegistration (endpoint: EndpointId, text: string): EndpointRecord
}

/** Operators' path of quarantined requests in every dialect; a fingerprint may follow. */
const quarantinePath = '/v1/quarantine'
/** Operators' path of request counts in every dialect. */
const usagePath = '/v1/usage'
/** Operators' path of endpoint notices in every dialect. */
const noticesPath = '/v1/notices'
/** Operators' path of gateways with lost paths in every dialect. */
const lostPathsPath = '/v1/lost-paths'
/** Misdirected Request: a different endpoint has this address and did not run the request. */
const misdirectedStatus = 421
/** Message-framing headers, set anew for the forwarded request. */
const framingHeaders = ['content-length', 'expect']

export function createDialect (parts: DialectParts): Dialect {
  return new HeaderDialect(parts)
}

class HeaderDialect implements Dialect {
  readonly readyPath: string
  readonly decodeDocument: (text: string) => RoutingDocument
  readonly decodeRegistration: (endpoint: EndpointId, text: string) => EndpointRecord
  #names: HeaderNames
  #lowerNames: HeaderNames
  #paths: CallPaths
  #strippedHeaders: Set<string>
  #duties: DutyNames
  #hasFractionalRetryAfter: boolean
  #contendedFeatures: readonly string[]

  constructor (parts: DialectParts) {
    this.readyPath = parts.paths.ready
    this.decodeDocument = parts.decodeDocument
    this.decodeRegistration = parts.decodeRegistration
    this.#names = parts.headers
    this.#lowerNames = lowerNames(parts.headers)
    this.#paths = parts.paths
    this.#duties = parts.duties
    this.#hasFractionalRetryAfter = parts.fractionalRetryAfter
    this.#contendedFeatures = parts.contendedFeatures
    const { deadline, expectedEndpoint, workspace, priority, fetchFrom, lastEvent, reserved } = this.#lowerNames
    this.#strippedHeaders = new Set([...framingHeaders, 'authorization', deadline, expectedEndpoint, workspace, priority, fetchFrom, lastEvent, ...reserved])
  }

  isContended (features: readonly string[]): boolean { return features.some(feature => this.#contendedFeatures.includes(feature)) }

  readCaller (headers: HeaderMap): CallerHeaders {
    return {
      requestId: readString(headers, this.#lowerNames.requestId) ?? '',
      deadlineMs: readMs(headers, this.#lowerNames.deadline),
      key: readKey(readString(headers, 'authorization'), this.#names.keyScheme),
      cost: readCost(readString(headers, this.#lowerNames.tokens), readString(headers, this.#lowerNames.parts)),
      lastEvent: readString(headers, this.#lowerNames.lastEvent),
      resumes: readString(headers, this.#lowerNames.resumes)
    }
  }

  composeRequest (rawHeaders: readonly string[], values: EndpointRequestHeaders): string[] {
    const names = this.#names
    const headers = copyHeaders(rawHeaders, name => this.#strippedHeaders.has(name))
    headers.push(names.deadline, String(Math.max(1, Math.floor(values.deadlineMs))), names.expectedEndpoint, encodeHeaderText(values.endpoint))
    if (values.workspace !== null) headers.push(names.workspace, encodeHeaderText(values.workspace))
    if (values.priority !== null) headers.push(names.priority, String(values.priority))
    if (values.fetchFrom !== null) headers.push(names.fetchFrom, values.fetchFrom)
    if (values.lastEvent !== null) headers.push(names.lastEvent, values.lastEvent)
    return headers
  }

  readAnswer (status: number, headers: HeaderMap, wallMs: number): AnswerHeaders {
    const { requestId, notRun, mark } = this.#lowerNames
    const isMisdirected = status === misdirectedStatus
    return {
      requestId: readString(headers, requestId) ?? '',
      isNotRun: isMisdirected || headers[notRun] !== undefined,
      isMisdirected,
      isMarked: mark === '' || headers[mark] !== undefined,
      notices: readNotices(status, headers, this.#lowerNames, wallMs)
    }
  }

  get retryAfterStepMs (): number { return this.#hasFractionalRetryAfter ? 1 : 1000 }

  formatRetryAfter (ms: number): string {
    return this.#hasFractionalRetryAfter ? (ms / 1000).toFixed(3) : String(Math.max(1, Math.ceil(ms / 1000)))
  }

  readRegistryCall (method: string, path: string): RegistryCall {
    const [pathname] = path.split('?')
    if (pathname === this.#paths.document && method === 'PUT') return { type: 'put-document' }
    if (pathname === this.#paths.document && method === 'GET') return { type: 'read-document' }
    if (pathname === quarantinePath && method === 'GET') return { type: 'list-quarantine' }
    if (pathname.startsWith(`${quarantinePath}/`) && method === 'DELETE') return { type: 'lift-quarantine', fingerprint: decodeSegment(pathname.slice(quarantinePath.length + 1)) ?? '' }
    if (pathname === usagePath && method === 'GET') return { type: 'list-usage' }
    if (pathname === noticesPath && method === 'GET') return { type: 'list-notices' }
    if (pathname === lostPathsPath && method === 'GET') return { type: 'list-lost-paths' }
    return this.#readEndpointCall(method, pathname)
  }

  #readEndpointCall (method: string, pathname: string): RegistryCall {
    const segment = pathname.startsWith(this.#paths.endpoints) ? pathname.slice(this.#paths.endpoints.length) : ''
    const endpoint = decodeSegment(segment)
    if (segment === '' || endpoint?.includes('/') === true || (method !== 'PUT' && method !== 'DELETE')) return { type: 'unknown' }
    if (endpoint === null || !isEndpointId(endpoint)) return { type: 'invalid', mistake: `the id in the path is not one that a header can carry: ${segment}` }
    return { type: method === 'PUT' ? 'register' : 'deregister', endpoint }
  }

  composeDuty (call: DutyCall, lease: DutyLease): OutgoingRequest { return composeDuty(this.#duties, call, lease) }

  composeDeregistration (endpoint: EndpointId, stage: EndpointStage): EndpointRecord {
    return { id: endpoint, service: brandId(''), host: '', port: 0, zone: brandId(''), slots: 0, born: 0, software: '', sequence: 0, stage }
  }
}

function lowerNames (names: HeaderNames): HeaderNames {
  const lower = Object.entries(names).map(([key, name]) => [key, typeof name === 'string' ? name.toLowerCase() : name.map((one: string) => one.toLowerCase())])
  return Object.fromEntries(lower) as HeaderNames
}

function readString (headers: HeaderMap, name: string): string | null {
  const found = headers[name]
  return typeof found === 'string' ? found : found?.[0] ?? null
}

function readMs (headers: HeaderMap, name: string): number | null {
  const text = readString(headers, name)
  const ms = text === null ? NaN : Number(text)
  return Number.isFinite(ms) && ms >= 0 ? ms : null
}

function readKey (authorization: string | null, scheme: string): string | null {
  if (authorization === null) return null
  const space = authorization.indexOf(' ')
  if (authorization.slice(0, space).toLowerCase() !== scheme.toLowerCase()) return null
  return decodeHeaderText(authorization.slice(space + 1).trim())
}

// A malformed cost is ignored, and the request is served without an estimate.
function readCost (tokens: string | null, parts: string | null): PromptCost | null {
  if (tokens === null) return null
  const [promptTokens, maxTokens] = tokens.split(',').map(Number)
  if (!Number.isFinite(promptTokens)) return null
  return { promptTokens, maxTokens: Number.isFinite(maxTokens) ? maxTokens : 0, parts: parts === null ? [] : readParts(parts) }
}

function readParts (text: string): PromptPart[] {
  const parts: PromptPart[] = []
  for (const one of text.split(',')) {
    const colon = one.lastIndexOf(':')
    const tokens = Number(one.slice(colon + 1))
    if (colon > 0 && Number.isFinite(tokens)) parts.push({ id: one.slice(0, colon).trim(), tokens })
  }
  return parts
}

// Null if the escapes aren't valid, or don't give UTF-8.
function decodeSegment (text: string): string | null {
  try {
    return decodeURIComponent(text)
  } catch {
    return null
  }
}
