/**
 * A dialect is how callers, endpoints and operators speak: names of headers,
 * forms of bodies, paths of calls. Everything behind it deals in the types
 * below alone. The product's own is `native-dialect.ts`; an adapter to another
 * platform brings its own.
 */
import type { EndpointRecord, EndpointStage, PromptCost, RoutingDocument } from '../core/index.js'
import type { DutyCall, DutyWords, OutsideCall } from './duty-call.js'
import type { EndpointNotices } from './endpoint-notices.js'
import type { HeaderMap } from './header-map.js'

/** What a caller's headers say of a request, beside route and body. */
export interface CallerWords {
  /** The caller's own id of the request; empty where there is none. */
  readonly requestId: string
  /** How long the caller will wait, ms; null where it doesn't say. */
  readonly deadlineMs: number | null
  /** The key that opens a workspace; null for none. */
  readonly key: string | null
  readonly cost: PromptCost | null
  /** The last event that the caller has of a broken stream; null for none. */
  readonly lastEvent: string | null
}

/** What the product adds to a request on its way to an endpoint. */
export interface EndpointWords {
  readonly requestId: string
  /** What is left of the caller's time, ms. */
  readonly deadlineMs: number
  /** The endpoint that is meant: another one at its address must refuse. */
  readonly endpoint: string
  readonly workspace: string | null
  /** 0 goes first; null where the endpoint has no use for it. */
  readonly priority: number | null
  /** "HOST:PORT" of another endpoint from which this one takes what it keeps of the prompt; null to read it all. */
  readonly fetchFrom: string | null
  /** The last event of a stream that is continued; null for a whole one. */
  readonly lastEvent: string | null
}

/** What the head of an endpoint's answer says. */
export interface AnswerWords {
  /** The id of the request that is answered; empty where the endpoint names none. */
  readonly requestId: string
  /** True where the endpoint says that it did not run the request and won't. */
  readonly isNotRun: boolean
  /** True where another endpoint answers at that address. */
  readonly isOtherEndpoint: boolean
  /** True where the answer bears the endpoint's mark, which a whole answer must have. */
  readonly isMarked: boolean
  readonly notices: EndpointNotices
}

/** A call at a registry. */
export type RegistryCall =
  | { readonly type: 'put-document' }
  | { readonly type: 'read-document' }
  | { readonly type: 'register', readonly endpoint: string }
  | { readonly type: 'deregister', readonly endpoint: string }
  /** Asks for the requests that are not sent, as endpoints ended under them. */
  | { readonly type: 'list-quarantine' }
  /** Has one of them sent again. */
  | { readonly type: 'lift-quarantine', readonly fingerprint: string }
  /** Asks for what ran in the newest windows, by workspace. */
  | { readonly type: 'list-usage' }
  /** Asks what endpoints say of themselves on their answers, as far as this registry knows. */
  | { readonly type: 'list-notices' }
  | { readonly type: 'unknown' }

/** A document that can't be read, or must not be put in force. */
export class DocumentError extends Error {
  readonly mistakes: readonly string[]

  constructor (mistakes: readonly string[]) {
    super(mistakes.join('; '))
    this.mistakes = mistakes
  }
}

/** One manner of speaking. Every function is pure. */
export interface Dialect {
  /** The path at which a gateway is asked whether it is ready. */
  readonly readyPath: string
  readCaller (headers: HeaderMap): CallerWords
  /** The headers for the endpoint: the caller's, in their order and letters, less what concerns one connection or the product alone, and the product's. */
  composeRequest (rawHeaders: readonly string[], words: EndpointWords): string[]
  /** `wallMs`: Unix time at which the answer came. */
  readAnswer (status: number, headers: HeaderMap, wallMs: number): AnswerWords
  /** The value of Retry-After, in seconds. */
  formatRetryAfter (ms: number): string
  readRegistryCall (method: string, path: string): RegistryCall
  /** Throws `DocumentError` where the text can't be read in full. */
  decodeDocument (text: string): RoutingDocument
  /** Throws `DocumentError` where a registration can't be read. */
  decodeRegistration (endpoint: string, text: string): EndpointRecord
  composeDuty (call: DutyCall, words: DutyWords): OutsideCall
  /** The record for an endpoint that says that it is gone. */
  composeGone (endpoint: string, stage: EndpointStage): EndpointRecord
}

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
export const connectionHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** The headers that a message's Connection header names beside the usual ones, in lower case. */
export function listNamedByConnection (rawHeaders: readonly string[]): Set<string> {
  const named = new Set<string>()
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[i + 1].split(',')) named.add(name.trim().toLowerCase())
  }
  return named
}

/** Copies raw headers but for those of one connection and those that `isDropped` names. */
export function copyHeaders (rawHeaders: readonly string[], isDropped: (name: string) => boolean): string[] {
  const named = listNamedByConnection(rawHeaders)
  const copied: string[] = []
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i].toLowerCase()
    if (connectionHeaders.has(name) || named.has(name) || isDropped(name)) continue
    copied.push(rawHeaders[i], rawHeaders[i + 1])
  }
  return copied
}
