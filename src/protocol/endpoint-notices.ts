/**
 * Notices that an endpoint sends in the headers of its answers: a rate limit, that it
 * is brittle or shutting down, and a back-off period for this box. The values are
 * untrusted: malformed or extreme ones are reported and replaced by a bound.
 */
import type { HeaderMap } from './header-map.js'

/** Header names in lower case. */
export interface NoticeNames {
  /** Maximum requests/s from all boxes together. */
  readonly limit: string
  /** "1" on every answer of an endpoint that is shutting down. */
  readonly leaving: string
  /** On every answer of a brittle endpoint: how many requests it can refuse within a second. */
  readonly brittle: string
}

/** A header with a malformed or out-of-range value. */
export interface FaultyHeader {
  readonly name: string
  readonly value: string
}

/** The notices in the headers of one answer. */
export interface EndpointNotices {
  /** Maximum requests/s from all boxes together; null where the endpoint sets no limit, undefined where its value can't be parsed. */
  readonly limit: number | null | undefined
  readonly isLeaving: boolean
  /** How many requests a brittle endpoint can refuse within a second before it fails; missing where it does not say so. */
  readonly brittle?: number
  /** How long this box must not send to the endpoint, ms; null where it did not ask to back off. */
  readonly backoffMs: number | null
  readonly faulty: readonly FaultyHeader[]
}

/** Limits are clamped to this range, requests/s. */
const minLimit = 0.1
const maxLimit = 1_000_000
/** Upper bound on the refusals that a brittle endpoint bears, per second. */
const maxBrittle = 1000
/** Longer back-offs are cut to this, ms. */
const maxBackoffMs = 30_000
/** Back-off where Retry-After can't be parsed, ms. */
const unreadableBackoffMs = 1000
/** Statuses with which an endpoint refuses a request for lack of capacity. */
const refusalStatuses = new Set([429, 503])
/** Faulty values are reported up to this many characters. */
const maxReportedChars = 40

/** Reads the notices of one answer. `wallMs`: Unix time, the base of a Retry-After date where the answer has no Date header. */
export function readNotices (status: number, headers: HeaderMap, names: NoticeNames, wallMs: number): EndpointNotices {
  const faulty: FaultyHeader[] = []
  const report = (name: string, value: string): void => { faulty.push({ name, value: value.slice(0, maxReportedChars) }) }
  return {
    limit: readLimit(headers, names.limit, report),
    isLeaving: readLeaving(headers, names.leaving, report),
    ...readBrittle(headers, names.brittle, report),
    backoffMs: refusalStatuses.has(status) ? readBackoff(headers, wallMs, report) : null,
    faulty
  }
}

/** The back-off that an answer asks for, ms; null for none. */
export function readBackoffMs (status: number, headers: HeaderMap, wallMs: number): number | null {
  return refusalStatuses.has(status) ? readBackoff(headers, wallMs, () => {}) : null
}

type Report = (name: string, value: string) => void

// The lowest of several values applies.
function readLimit (headers: HeaderMap, name: string, report: Report): number | null | undefined {
  const text = joinValues(headers[name])
  if (text === null) return null
  const limits = text.split(',').map(parseNumber).filter(limit => limit !== null)
  if (limits.length === 0) {
    report(name, text)
    return undefined
  }
  const limit = Math.min(...limits)
  const clamped = Math.min(maxLimit, Math.max(minLimit, limit))
  if (clamped !== limit || text.includes(',')) report(name, text)
  return clamped
}

function readLeaving (headers: HeaderMap, name: string, report: Report): boolean {
  const text = joinValues(headers[name])?.trim() ?? '0'
  if (text !== '0' && text !== '1') report(name, text)
  return text === '1'
}

// The lowest of several values applies, and the strictest bound if none can be parsed.
function readBrittle (headers: HeaderMap, name: string, report: Report): { readonly brittle?: number } {
  const text = joinValues(headers[name])
  if (text === null) return {}
  const parts = text.split(',')
  const values = parts.map(parseNumber).filter(value => value !== null)
  const lowest = values.length === 0 ? 0 : Math.min(...values)
  const brittle = Math.min(maxBrittle, Math.max(0, lowest))
  if (parts.length !== 1 || values.length !== 1 || brittle !== lowest) report(name, text)
  return { brittle }
}

// The longest of several values applies. An HTTP date contains a comma but is a single value.
function readBackoff (headers: HeaderMap, wallMs: number, report: Report): number | null {
  const text = joinValues(headers['retry-after'])
  if (text === null) return null
  const seconds = text.split(',').map(parseNumber).filter(one => one !== null)
  const sentAt = Date.parse(joinValues(headers.date) ?? '')
  const backoffMs = seconds.length > 0 ? Math.max(...seconds) * 1000 : Date.parse(text) - (Number.isNaN(sentAt) ? wallMs : sentAt)
  if (Number.isNaN(backoffMs)) {
    report('retry-after', text)
    return unreadableBackoffMs
  }
  if (backoffMs < 0 || backoffMs > maxBackoffMs || seconds.length > 1) report('retry-after', text)
  return Math.min(maxBackoffMs, Math.max(0, backoffMs))
}

function parseNumber (text: string): number | null {
  const value = text.trim() === '' ? NaN : Number(text)
  return Number.isNaN(value) ? null : value
}

function joinValues (value: string | string[] | undefined): string | null {
  if (value === undefined) return null
  return typeof value === 'string' ? value : value.join(',')
}
