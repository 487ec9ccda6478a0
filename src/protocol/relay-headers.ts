/**
 * The HTTP headers between a box and the relay through which it reaches an endpoint. A forwarded request keeps its method,
 * path, headers and body; these headers are added to it, and removed before it goes on.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { decodeHeaderText, encodeHeaderText } from '../core/index.js'
import type { EndpointId } from '../core/index.js'
import type { HeaderMap } from './header-map.js'

/**
 * Why a relay has no answer of the endpoint. `unavailable`: the relay itself doesn't forward now, and sent nothing;
 * `unreachable`: the endpoint accepted no connection; `lost`: its connection ended early; `broken`: its answer was not valid.
 */
export type RelayFailure = 'unavailable' | 'unreachable' | 'lost' | 'broken'

/** What a relay is asked for: to forward the request, or only to connect to the endpoint. */
export type RelayTask = 'forward' | 'check'

const endpointHeader = 'x-wrenlane-relay-endpoint'
const taskHeader = 'x-wrenlane-relay-task'
const signatureHeader = 'x-wrenlane-relay-signature'
const failureHeader = 'x-wrenlane-relay-failure'
const relayHeaders: ReadonlySet<string> = new Set([endpointHeader, taskHeader, signatureHeader, failureHeader])
const failures: ReadonlySet<string> = new Set<RelayFailure>(['unavailable', 'unreachable', 'lost', 'broken'])
/** Signatures are valid for this long before and after the time that they name, ms: clocks of boxes differ by seconds. */
const signatureTtlMs = 30_000

/** True for a header that only boxes and relays exchange; `name` is in lower case. */
export function isRelayHeader (name: string): boolean { return relayHeaders.has(name) }

/** Headers that ask a relay to reach an endpoint, names and values alternately. `secret`: shared by all boxes, null for none; `wallMs`: Unix time. */
export function composeRelayHeaders (task: RelayTask, endpoint: EndpointId, secret: string | null, wallMs: number): string[] {
  const headers = [endpointHeader, encodeHeaderText(endpoint), taskHeader, task]
  if (secret !== null) headers.push(signatureHeader, `${wallMs} ${sign(secret, task, endpoint, wallMs)}`)
  return headers
}

/** Reads what a box asks a relay for; null if the headers are missing or their signature is not valid. */
export function readRelayHeaders (headers: HeaderMap, secret: string | null, wallMs: number): { readonly task: RelayTask, readonly endpoint: EndpointId } | null {
  const value = headers[endpointHeader]
  const task = headers[taskHeader]
  if (typeof value !== 'string' || (task !== 'forward' && task !== 'check')) return null
  const endpoint = decodeHeaderText(value)
  if (secret !== null && !isSigned(String(headers[signatureHeader] ?? ''), secret, task, endpoint, wallMs)) return null
  return { task, endpoint: endpoint as EndpointId }
}

export function composeRelayFailure (failure: RelayFailure): Record<string, string> { return { [failureHeader]: failure } }

/** The failure that a relay reports in place of an answer of the endpoint; null for none. */
export function readRelayFailure (headers: HeaderMap): RelayFailure | null {
  const failure = headers[failureHeader]
  return typeof failure === 'string' && failures.has(failure) ? failure as RelayFailure : null
}

function isSigned (signature: string, secret: string, task: RelayTask, endpoint: string, wallMs: number): boolean {
  const [time, mac = ''] = signature.split(' ')
  if (!(Math.abs(wallMs - Number(time)) <= signatureTtlMs)) return false
  const expected = Buffer.from(sign(secret, task, endpoint, Number(time)))
  const given = Buffer.from(mac)
  return given.length === expected.length && timingSafeEqual(given, expected)
}

function sign (secret: string, task: RelayTask, endpoint: string, wallMs: number): string {
  return createHmac('sha256', secret).update(`relay ${task} ${endpoint} ${wallMs}`).digest('hex')
}
