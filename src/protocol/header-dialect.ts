/**
 * Dialects that differ in names alone: the headers carry what a request costs,
 * whose it is and how long it may take, under names from a table.
 */
import { brandId } from '../core/index.js'
import type { EndpointRecord, EndpointStage, PromptCost, PromptPart, RoutingDocument } from '../core/index.js'
import { composeDuty } from './duty-call.js'
import type { DutyCall, DutyNames, DutyWords, OutsideCall } from './duty-call.js'
import { copyHeaders } from './dialect.js'
import { readNotices } from './endpoint-notices.js'
import type { HeaderMap } from './header-map.js'
import type { AnswerWords, CallerWords, Dialect, EndpointWords, RegistryCall } from './dialect.js'

/** The names of a dialect's headers; all are looked up without regard to case. */
export interface HeaderNames {
  readonly requestId: string
  /** What is left of the caller's time, ms. */
  readonly deadline: string
  readonly lastEvent: string
  /** "PROMPT,MOST": tokens of the prompt and the most that may be generated. */
  readonly tokens: string
  /** "ID:TOKENS,ID:TOKENS": the prompt's parts in order. */
  readonly parts: string
  readonly expectedEndpoint: string
  readonly workspace: string
  readonly priority: string
  /** "HOST:PORT" of the endpoint that hands over what it keeps of the prompt. */
  readonly fetchFrom: string
  /** In an answer: the endpoint did not run the request. */
  readonly notRun: string
  /** In an answer: the endpoint's mark; empty where endpoints set none. */
  readonly mark: string
  /** In an answer: requests a second that the endpoint takes from all boxes together. */
  readonly limit: string
  /** In an answer: "1" where the endpoint leaves. */
  readonly leaving: string
  /** The word before the key in Authorization. */
  readonly keyScheme: string
  /** More headers that callers may not set, as the product speaks to endpoints in them. */
  readonly reserved: readonly string[]
}

/** The paths of a dialect's calls. */
export interface CallPaths {
  readonly ready: string
  readonly document: string
  /** Begins the path of an endpoint's registration; its id follows. */
  readonly endpoints: string
}

/** A dialect's own part: its names and how it reads documents. */
export interface DialectParts {
  readonly headers: HeaderNames
  readonly paths: CallPaths
  readonly duties: DutyNames
  /** Whether callers read fractions of a second in Retry-After, beyond the standard. */
  readonly fractionalRetryAfter: boolean
  decodeDocument (text: string): RoutingDocument
  decodeRegistration (endpoint: string, text: string): EndpointRecord
}

/** Where operators find requests in quarantine, in every dialect; the fingerprint of one follows. */
const quarantinePath = '/v1/quarantine'
/** Where operators find what ran, in every dialect. */
const usagePath = '/v1/usage'
/** Where operators find what endpoints say of themselves, in every dialect. */
const noticesPath = '/v1/notices'
/** "Misdirected": the endpoint at that address is another one, and did not run the request. */
const otherEndpointStatus = 421
/** Headers of a message's framing: it is framed anew. */
const framingHeaders = ['content-length', 'expect']

/** Makes a dialect from its names. */
export function createDialect (parts: DialectParts): Dialect {
  return new HeaderDialect(parts)
}

class HeaderDialect implements Dialect {
  readonly readyPath: string
  readonly decodeDocument: (text: string) => RoutingDocument
  readonly decodeRegistration: (endpoint: string, text: string) => EndpointRecord
  #names: HeaderNames
  #lower: HeaderNames
  #paths: CallPaths
  #dropped: Set<string>
  #duties: DutyNames
  #fractional: boolean

  constructor (parts: DialectParts) {
    this.readyPath = parts.paths.ready
    this.decodeDocument = parts.decodeDocument
    this.decodeRegistration = parts.decodeRegistration
    this.#names = parts.headers
    this.#lower = lowerNames(parts.headers)
    this.#paths = parts.paths
    this.#duties = parts.duties
    this.#fractional = parts.fractionalRetryAfter
    const { deadline, expectedEndpoint, workspace, priority, fetchFrom, lastEvent, reserved } = this.#lower
    this.#dropped = new Set([...framingHeaders, 'authorization', deadline, expectedEndpoint, workspace, priority, fetchFrom, lastEvent, ...reserved])
  }

  readCaller (headers: HeaderMap): CallerWords {
    return {
      requestId: readText(headers, this.#lower.requestId) ?? '',
      deadlineMs: readMs(headers, this.#lower.deadline),
      key: readKey(readText(headers, 'authorization'), this.#names.keyScheme),
      cost: readCost(readText(headers, this.#lower.tokens), readText(headers, this.#lower.parts)),
      lastEvent: readText(headers, this.#lower.lastEvent)
    }
  }

  composeRequest (rawHeaders: readonly string[], words: EndpointWords): string[] {
    const names = this.#names
    const headers = copyHeaders(rawHeaders, name => this.#dropped.has(name))
    headers.push(names.deadline, String(Math.max(1, Math.floor(words.deadlineMs))), names.expectedEndpoint, words.endpoint)
    if (words.workspace !== null) headers.push(names.workspace, words.workspace)
    if (words.priority !== null) headers.push(names.priority, String(words.priority))
    if (words.fetchFrom !== null) headers.push(names.fetchFrom, words.fetchFrom)
    if (words.lastEvent !== null) headers.push(names.lastEvent, words.lastEvent)
    return headers
  }

  readAnswer (status: number, headers: HeaderMap, wallMs: number): AnswerWords {
    const { requestId, notRun, mark } = this.#lower
    const isOtherEndpoint = status === otherEndpointStatus
    return {
      requestId: readText(headers, requestId) ?? '',
      isNotRun: isOtherEndpoint || headers[notRun] !== undefined,
      isOtherEndpoint,
      isMarked: mark === '' || headers[mark] !== undefined,
      notices: readNotices(status, headers, this.#lower, wallMs)
    }
  }

  formatRetryAfter (ms: number): string {
    return this.#fractional ? (ms / 1000).toFixed(3) : String(Math.max(1, Math.ceil(ms / 1000)))
  }

  readRegistryCall (method: string, path: string): RegistryCall {
    const [bare] = path.split('?')
    if (bare === this.#paths.document && method === 'PUT') return { type: 'put-document' }
    if (bare === this.#paths.document && method === 'GET') return { type: 'read-document' }
    if (bare === quarantinePath && method === 'GET') return { type: 'list-quarantine' }
    if (bare.startsWith(`${quarantinePath}/`) && method === 'DELETE') return { type: 'lift-quarantine', fingerprint: decodePart(bare.slice(quarantinePath.length + 1)) }
    if (bare === usagePath && method === 'GET') return { type: 'list-usage' }
    if (bare === noticesPath && method === 'GET') return { type: 'list-notices' }
    const endpoint = bare.startsWith(this.#paths.endpoints) ? decodePart(bare.slice(this.#paths.endpoints.length)) : ''
    if (endpoint === '' || endpoint.includes('/')) return { type: 'unknown' }
    if (method === 'PUT') return { type: 'register', endpoint }
    if (method === 'DELETE') return { type: 'deregister', endpoint }
    return { type: 'unknown' }
  }

  composeDuty (call: DutyCall, words: DutyWords): OutsideCall { return composeDuty(this.#duties, call, words) }

  composeGone (endpoint: string, stage: EndpointStage): EndpointRecord {
    return { id: brandId(endpoint), service: brandId(''), host: '', port: 0, zone: brandId(''), slots: 0, born: 0, software: '', sequence: 0, stage }
  }
}

function lowerNames (names: HeaderNames): HeaderNames {
  const lower = Object.entries(names).map(([key, name]) => [key, typeof name === 'string' ? name.toLowerCase() : name.map((one: string) => one.toLowerCase())])
  return Object.fromEntries(lower) as HeaderNames
}

function readText (headers: HeaderMap, name: string): string | null {
  const found = headers[name]
  return typeof found === 'string' ? found : found?.[0] ?? null
}

function readMs (headers: HeaderMap, name: string): number | null {
  const text = readText(headers, name)
  const ms = text === null ? NaN : Number(text)
  return Number.isFinite(ms) && ms >= 0 ? ms : null
}

function readKey (authorization: string | null, scheme: string): string | null {
  if (authorization === null) return null
  const space = authorization.indexOf(' ')
  if (authorization.slice(0, space).toLowerCase() !== scheme.toLowerCase()) return null
  return authorization.slice(space + 1).trim()
}

// A description that can't be read is none: the request is served all the same.
function readCost (tokens: string | null, parts: string | null): PromptCost | null {
  if (tokens === null) return null
  const [promptTokens, mostTokens] = tokens.split(',').map(Number)
  if (!Number.isFinite(promptTokens)) return null
  return { promptTokens, mostTokens: Number.isFinite(mostTokens) ? mostTokens : 0, parts: parts === null ? [] : readParts(parts) }
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

function decodePart (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch {
    return ''
  }
}
