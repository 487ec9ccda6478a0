/**
 * What an endpoint says of itself on its answers: a rate limit, that it leaves,
 * and how long it wants nothing from this box. The values come from outside: one
 * that can't be read is reported and replaced by a bound, never trusted.
 */
import type { HeaderMap } from './header-map.js'

/** The names of the headers, in lower case. */
export interface NoticeNames {
  /** Requests a second, from all boxes together. */
  readonly limit: string
  /** "1" on every answer of an endpoint that leaves. */
  readonly leaving: string
}

/** A header that could not be taken as it was. */
export interface FaultyHeader {
  readonly name: string
  readonly value: string
}

/** What the headers of one answer say of its endpoint. */
export interface EndpointNotices {
  /** Requests a second that the endpoint takes from all boxes together; null where it names no limit, undefined where what it names can't be read. */
  readonly limit: number | null | undefined
  readonly isLeaving: boolean
  /** How long the endpoint wants nothing from this box, ms; null where it doesn't say. */
  readonly backoffMs: number | null
  readonly faulty: readonly FaultyHeader[]
}

/** The limits that are believed, requests a second. */
const leastLimit = 0.1
const mostLimit = 1_000_000
/** The longest back-off that is believed, ms. */
const mostBackoffMs = 30_000
/** The back-off of an endpoint that asked for one in words that can't be read, ms. */
const unreadableBackoffMs = 1000
/** Statuses with which an endpoint turns a request away. */
const turnedAway = new Set([429, 503])
/** Only so much of a faulty value is reported, characters. */
const reportedLength = 40

/** Reads the notices of one answer. `wallMs`: Unix time, for a back-off until a date where the answer bears no date of its own. */
export function readNotices (status: number, headers: HeaderMap, names: NoticeNames, wallMs: number): EndpointNotices {
  const faulty: FaultyHeader[] = []
  const report = (name: string, value: string): void => { faulty.push({ name, value: value.slice(0, reportedLength) }) }
  return {
    limit: readLimit(headers, names.limit, report),
    isLeaving: readLeaving(headers, names.leaving, report),
    backoffMs: turnedAway.has(status) ? readBackoff(headers, wallMs, report) : null,
    faulty
  }
}

/** For how long an answer asks to back off, ms; null where it doesn't. */
export function readBackoffMs (status: number, headers: HeaderMap, wallMs: number): number | null {
  return turnedAway.has(status) ? readBackoff(headers, wallMs, () => {}) : null
}

type Report = (name: string, value: string) => void

// Of several values the lowest holds.
function readLimit (headers: HeaderMap, name: string, report: Report): number | null | undefined {
  const text = joinValues(headers[name])
  if (text === null) return null
  const limits = text.split(',').map(parseNumber).filter(limit => limit !== null)
  if (limits.length === 0) {
    report(name, text)
    return undefined
  }
  const limit = Math.min(...limits)
  const believed = Math.min(mostLimit, Math.max(leastLimit, limit))
  if (believed !== limit || text.includes(',')) report(name, text)
  return believed
}

function readLeaving (headers: HeaderMap, name: string, report: Report): boolean {
  const text = joinValues(headers[name])?.trim() ?? '0'
  if (text !== '0' && text !== '1') report(name, text)
  return text === '1'
}

// Of several values the longest holds. A date is one value, though it has a comma in it.
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
  if (backoffMs < 0 || backoffMs > mostBackoffMs || seconds.length > 1) report('retry-after', text)
  return Math.min(mostBackoffMs, Math.max(0, backoffMs))
}

// Null for a text that is no number.
function parseNumber (text: string): number | null {
  const value = text.trim() === '' ? NaN : Number(text)
  return Number.isNaN(value) ? null : value
}

function joinValues (value: string | string[] | undefined): string | null {
  if (value === undefined) return null
  return typeof value === 'string' ? value : value.join(',')
}
