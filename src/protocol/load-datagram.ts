/**
 * Load reports over UDP. A gateway reports its load to a hub (a registry that
 * aggregates loads); hubs send each other the sums of their gateways' loads, and
 * send their gateways the totals. Each datagram can be decoded on its own, so a
 * lost one only delays the data until a later report.
 */
import type { BoxId, BoxLoad, EndpointId, EndpointLoad, EndpointNotice, LoadUpdate, WaitingTokens, ZoneName } from '../core/index.js'
import { areNumbers, isBoxLoad, isGapList, isPackedLoad, isPromptList, isTexts, isTotals } from './load-checks.js'
import { decodeUntrusted, encodeValue } from './value-codec.js'

/** Orders the reports of a sender: a later one replaces earlier ones. */
export interface ReportSequence {
  /** Random id of the sender's process; numbers restart with it. */
  readonly start: number
  /** Incremented with each report. */
  readonly number: number
}

/** A gateway's report to a hub. */
export interface GatewayReport extends ReportSequence {
  readonly box: BoxId
  readonly zone: ZoneName
  /** Null where the gateway reports to a different hub from now on. */
  readonly load: BoxLoad | null
  /** Endpoint notices that the hub may not know yet. */
  readonly notices: readonly EndpointNotice[]
}

/** A hub's report to another hub. */
export interface HubReport extends ReportSequence {
  readonly hub: BoxId
  /** Update of the summed loads of this hub's gateways. */
  readonly news: LoadUpdate
  /** New endpoint notices; periodically all of them. */
  readonly notices: readonly EndpointNotice[]
}

/** A hub's report to a gateway. */
export interface TotalsReport extends ReportSequence {
  /** Number of the gateway's latest report that the totals include. */
  readonly ownNumber: number
  /** Interval at which the hub sends changes, ms. */
  readonly intervalMs: number
  readonly news: LoadUpdate
  readonly notices: readonly EndpointNotice[]
}

const wireVersion = 6
/** Exclusive upper bound of `start`. */
export const startLimit = 2 ** 31

/** True for a report with a higher number than the known one, or from another start of the sender. */
export function isNewerReport (report: ReportSequence, known: ReportSequence | undefined): boolean {
  return known === undefined || known.start !== report.start || known.number < report.number
}

export function encodeGatewayReport ({ box, zone, start, number, load, notices }: GatewayReport): Buffer {
  return encodeValue([wireVersion, box, zone, start, number, load, notices.map(packNotice)])
}

/** Decodes a gateway's report; null for invalid bytes. */
export function decodeGatewayReport (bytes: Uint8Array): GatewayReport | null {
  const fields = decodeFields(bytes, 7)
  if (fields === null) return null
  const [, box, zone, start, number, load, packed] = fields as [number, BoxId, ZoneName, number, number, unknown, unknown]
  const notices = unpackNotices(packed)
  return isTexts([box, zone]) && areNumbers(start, number) && (load === null || isBoxLoad(load)) && notices !== null ? { box, zone, start, number, load, notices } : null
}

export function encodeHubReport ({ hub, start, number, news, notices }: HubReport): Buffer {
  return encodeValue([wireVersion, hub, start, number, encodeLoadUpdate(news), notices.map(packNotice)])
}

/** Decodes a hub's report to another hub; null for invalid bytes. */
export function decodeHubReport (bytes: Uint8Array): HubReport | null {
  const fields = decodeFields(bytes, 6)
  if (fields === null) return null
  const [, hub, start, number, encoded, packed] = fields as [number, BoxId, number, number, unknown, unknown]
  const update = decodeLoadUpdate(encoded)
  const notices = unpackNotices(packed)
  if (!isTexts([hub]) || !areNumbers(start, number) || update === null || notices === null) return null
  return { hub, start, number, news: update, notices }
}

/** Encodes an update of summed loads once for all recipients of a hub's reports. */
export function encodeLoadUpdate ({ isWhole, loads, gone, demands, gaps, prompts, zones }: LoadUpdate): Buffer {
  return encodeValue([isWhole, loads.map(packLoad), gone, demands, gaps, prompts, zones])
}

/** Encodes notices once for all recipients of a hub's reports. */
export function encodeNotices (notices: readonly EndpointNotice[]): Buffer { return encodeValue(notices.map(packNotice)) }

/** Encodes a hub's report to one gateway; `update` and `notices` are already encoded. */
export function encodeTotalsReport (report: Omit<TotalsReport, 'news' | 'notices'>, update: Buffer, notices: Buffer): Buffer {
  return encodeValue([wireVersion, report.start, report.number, report.ownNumber, report.intervalMs, update, notices])
}

/** Decodes a hub's report to a gateway; null for invalid bytes. */
export function decodeTotalsReport (bytes: Uint8Array): TotalsReport | null {
  const fields = decodeFields(bytes, 7)
  if (fields === null) return null
  const [, start, number, ownNumber, intervalMs, encoded, packed] = fields as [number, number, number, number, number, unknown, unknown]
  const update = decodeLoadUpdate(encoded)
  const notices = packed instanceof Uint8Array ? unpackNotices(decodeUntrusted(packed)) : null
  if (!areNumbers(start, number, ownNumber, intervalMs) || update === null || notices === null) return null
  return { start, number, ownNumber, intervalMs, news: update, notices }
}

/** A load as a tuple: without field names, as loads make up most of a report. */
type PackedLoad = readonly [endpoint: EndpointId, running: number, brisk: number, memory: number, waiting: WaitingTokens, largest: number, backedOff: number]

function packLoad ({ endpoint, running, brisk, memory, waiting, largest, backedOff }: EndpointLoad): PackedLoad {
  return [endpoint, running, brisk, memory, waiting, largest, backedOff]
}

function unpackLoad ([endpoint, running, brisk, memory, waiting, largest, backedOff]: PackedLoad): EndpointLoad {
  return { endpoint, running, brisk, memory, waiting, largest, backedOff }
}

type PackedNotice = readonly [endpoint: EndpointId, born: number, stamp: number, perSecond: number | null, isLeaving: boolean, brittle: number | null]

function packNotice ({ endpoint, born, stamp, perSecond, isLeaving, brittle }: EndpointNotice): PackedNotice {
  return [endpoint, born, stamp, perSecond, isLeaving, brittle ?? null]
}

function unpackNotice ([endpoint, born, stamp, perSecond, isLeaving, brittle]: PackedNotice): EndpointNotice {
  return { endpoint, born, stamp, perSecond, isLeaving, ...(brittle === null ? {} : { brittle }) }
}

// Null for a value that isn't a list of valid notices.
function unpackNotices (value: unknown): EndpointNotice[] | null {
  return Array.isArray(value) && value.every(isPackedNotice) ? value.map(unpackNotice) : null
}

function isPackedNotice (value: unknown): value is PackedNotice {
  if (!Array.isArray(value) || value.length !== 6) return false
  const [endpoint, born, stamp, perSecond, isLeaving, brittle] = value as unknown[]
  const isLimit = perSecond === null || (typeof perSecond === 'number' && perSecond > 0)
  return typeof endpoint === 'string' && Number.isFinite(born) && Number.isFinite(stamp) && isLimit && typeof isLeaving === 'boolean' && (brittle === null || (typeof brittle === 'number' && brittle >= 0))
}

function decodeLoadUpdate (encoded: unknown): LoadUpdate | null {
  const packed = encoded instanceof Uint8Array ? decodeUntrusted(encoded) : undefined
  if (!Array.isArray(packed) || packed.length !== 7) return null
  const [isWhole, loads, gone, demands, gaps, prompts, zones] = packed as unknown[]
  if (typeof isWhole !== 'boolean' || !Array.isArray(loads) || !loads.every(isPackedLoad) || !isTexts(gone) || !isTotals(demands)) return null
  if ((gaps !== null && !isGapList(gaps)) || !isPromptList(prompts) || !isTexts(zones)) return null
  return { isWhole, loads: (loads as PackedLoad[]).map(unpackLoad), gone: gone as EndpointId[], demands, gaps, prompts, zones: zones as ZoneName[] }
}

function decodeFields (bytes: Uint8Array, length: number): unknown[] | null {
  const fields = decodeUntrusted(bytes)
  return Array.isArray(fields) && fields.length === length && fields[0] === wireVersion ? fields : null
}
