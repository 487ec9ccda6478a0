/**
 * The datagrams about loads: a gateway tells a hub its work, a hub tells the
 * other hubs the sum of its gateways' work, and its gateways the totals of all.
 * Each is whole, so that a lost one costs only time.
 */
import type { BoxId, BoxLoad, EndpointId, EndpointLoad, EndpointNotice, EngineGap, ReadPrompt, ServiceTotal, SumNews, WaitingTokens, ZoneName } from '../core/index.js'
import { decodeForeign, encodeValue } from './value-codec.js'

/** Tells a sender's words apart: a later one replaces those before it. */
export interface WordNumber {
  /** Drawn at the start of the sender's process: numbers begin anew with it. */
  readonly start: number
  /** Rises by one with each word. */
  readonly number: number
}

/** A gateway's word to a hub. */
export interface LoadWord extends WordNumber {
  readonly box: BoxId
  readonly zone: ZoneName
  /** Null where the gateway tells another hub from now on. */
  readonly load: BoxLoad | null
  /** What endpoints say of themselves, as far as the hub may not know it. */
  readonly notices: readonly EndpointNotice[]
}

/** A hub's word to another hub. */
export interface HubWord extends WordNumber {
  readonly hub: BoxId
  /** What the gateways of this hub have, as far as it is news. */
  readonly news: SumNews
  /** What endpoints say of themselves: what is new, and all of it now and then. */
  readonly notices: readonly EndpointNotice[]
}

/** A hub's word to a gateway. */
export interface TotalsWord extends WordNumber {
  /** The number of the gateway's own word that is in the totals. */
  readonly ownNumber: number
  /** How often the hub tells changes, ms. */
  readonly intervalMs: number
  readonly news: SumNews
  readonly notices: readonly EndpointNotice[]
}

const wireVersion = 5
/** Starts are drawn below this. */
export const startLimit = 2 ** 31

/** True for a word that is later than the one known, or the first of another start. */
export function isNewerWord (word: WordNumber, known: WordNumber | undefined): boolean {
  return known === undefined || known.start !== word.start || known.number < word.number
}

/** Encodes a gateway's word. */
export function encodeLoadWord ({ box, zone, start, number, load, notices }: LoadWord): Buffer {
  return encodeValue([wireVersion, box, zone, start, number, load, notices.map(packNotice)])
}

/** Decodes a gateway's word; null for bytes that are none. */
export function decodeLoadWord (bytes: Uint8Array): LoadWord | null {
  const fields = decodeFields(bytes, 7)
  if (fields === null) return null
  const [, box, zone, start, number, load, packed] = fields as [number, BoxId, ZoneName, number, number, BoxLoad | null, unknown]
  const notices = unpackNotices(packed)
  const isSound = load === null || hasLists(load, ['loads', 'demands', 'gaps', 'prompts'])
  return isSound && notices !== null ? { box, zone, start, number, load, notices } : null
}

/** Encodes a hub's word to another hub. */
export function encodeHubWord ({ hub, start, number, news, notices }: HubWord): Buffer {
  return encodeValue([wireVersion, hub, start, number, encodeNews(news), notices.map(packNotice)])
}

/** Decodes a hub's word to another hub; null for bytes that are none. */
export function decodeHubWord (bytes: Uint8Array): HubWord | null {
  const fields = decodeFields(bytes, 6)
  if (fields === null) return null
  const [, hub, start, number, encoded, packed] = fields as [number, BoxId, number, number, unknown, unknown]
  const news = decodeNews(encoded)
  const notices = unpackNotices(packed)
  return news === null || notices === null ? null : { hub, start, number, news, notices }
}

/** Encodes the part of a hub's words that is the same for all that they go to. */
export function encodeNews ({ isWhole, loads, gone, demands, gaps, prompts, zones }: SumNews): Buffer {
  return encodeValue([isWhole, loads.map(packLoad), gone, demands, gaps, prompts, zones])
}

/** Encodes notices that are the same for all that they go to. */
export function encodeNotices (notices: readonly EndpointNotice[]): Buffer { return encodeValue(notices.map(packNotice)) }

/** Encodes a hub's word to one gateway, around news and notices that are encoded already. */
export function encodeTotalsWord (word: Omit<TotalsWord, 'news' | 'notices'>, news: Buffer, notices: Buffer): Buffer {
  return encodeValue([wireVersion, word.start, word.number, word.ownNumber, word.intervalMs, news, notices])
}

/** Decodes a hub's word to a gateway; null for bytes that are none. */
export function decodeTotalsWord (bytes: Uint8Array): TotalsWord | null {
  const fields = decodeFields(bytes, 7)
  if (fields === null) return null
  const [, start, number, ownNumber, intervalMs, encoded, packed] = fields as [number, number, number, number, number, unknown, unknown]
  const news = decodeNews(encoded)
  const notices = packed instanceof Uint8Array ? unpackNotices(decodeForeign(packed)) : null
  return news === null || notices === null ? null : { start, number, ownNumber, intervalMs, news, notices }
}

/** A load without the names of its fields, as most of a word is loads. */
type PackedLoad = readonly [endpoint: EndpointId, running: number, brisk: number, memory: number, waiting: WaitingTokens, largest: number, backedOff: number]

function packLoad ({ endpoint, running, brisk, memory, waiting, largest, backedOff }: EndpointLoad): PackedLoad {
  return [endpoint, running, brisk, memory, waiting, largest, backedOff]
}

function unpackLoad ([endpoint, running, brisk, memory, waiting, largest, backedOff]: PackedLoad): EndpointLoad {
  return { endpoint, running, brisk, memory, waiting, largest, backedOff }
}

function isPackedLoad (value: unknown): value is PackedLoad {
  return Array.isArray(value) && value.length === 7 && Array.isArray(value[4])
}

type PackedNotice = readonly [endpoint: EndpointId, born: number, stamp: number, perSecond: number | null, isLeaving: boolean]

function packNotice ({ endpoint, born, stamp, perSecond, isLeaving }: EndpointNotice): PackedNotice {
  return [endpoint, born, stamp, perSecond, isLeaving]
}

function unpackNotice ([endpoint, born, stamp, perSecond, isLeaving]: PackedNotice): EndpointNotice {
  return { endpoint, born, stamp, perSecond, isLeaving }
}

// Null for a value that is no list of notices.
function unpackNotices (value: unknown): EndpointNotice[] | null {
  return Array.isArray(value) && value.every(isPackedNotice) ? value.map(unpackNotice) : null
}

function isPackedNotice (value: unknown): value is PackedNotice {
  if (!Array.isArray(value) || value.length !== 5) return false
  const [endpoint, born, stamp, perSecond, isLeaving] = value as unknown[]
  const isLimit = perSecond === null || (typeof perSecond === 'number' && perSecond > 0)
  return typeof endpoint === 'string' && Number.isFinite(born) && Number.isFinite(stamp) && isLimit && typeof isLeaving === 'boolean'
}

function decodeNews (encoded: unknown): SumNews | null {
  const packed = encoded instanceof Uint8Array ? decodeForeign(encoded) : undefined
  if (!Array.isArray(packed) || packed.length !== 7) return null
  const [isWhole, loads, gone, demands, gaps, prompts, zones] = packed as [boolean, PackedLoad[], EndpointId[], ServiceTotal[], EngineGap[] | null, ReadPrompt[], ZoneName[]]
  const isSound = [loads, gone, demands, gaps ?? [], prompts, zones].every(list => Array.isArray(list)) && loads.every(isPackedLoad)
  return isSound ? { isWhole, loads: loads.map(unpackLoad), gone, demands, gaps, prompts, zones } : null
}

function decodeFields (bytes: Uint8Array, length: number): unknown[] | null {
  const fields = decodeForeign(bytes)
  return Array.isArray(fields) && fields.length === length && fields[0] === wireVersion ? fields : null
}

function hasLists (value: unknown, keys: readonly string[]): boolean {
  return typeof value === 'object' && value !== null && keys.every(key => Array.isArray((value as Record<string, unknown>)[key]))
}
