/**
 * Checksummed records in one file, appended in batches and synced. Each batch
 * starts with a mark that holds the file length synced before it, so that a
 * reader can distinguish a torn last batch from damage to acknowledged records.
 */
import { crc32 } from 'node:zlib'
import { decode, encode } from 'cbor-x'
import type { LogEntry, HardState } from './log-types.js'

/** Contents of a record. `mark` starts a batch. */
export type LogRecord =
  | { readonly type: 'mark', readonly synced: number }
  | { readonly type: 'hard', readonly hard: HardState }
  | { readonly type: 'entry', readonly entry: LogEntry }

const headerBytes = 8
const maxRecordBytes = 64 * 2 ** 20

/** The valid part of a file. */
export interface DecodedRecords {
  readonly records: readonly LogRecord[]
  /** Bytes of complete records; the rest is a torn tail to truncate. */
  readonly length: number
}

/** Damage that can't be explained by a torn last write. The replica must not vote with such a log. */
export class DamagedLogError extends Error {
  readonly offset: number

  constructor (offset: number, found: string) {
    super(`damaged record at byte ${offset}: ${found}`)
    this.name = 'DamagedLogError'
    this.offset = offset
  }
}

/** Encodes one record, prefixed with its length and CRC-32 (both 32 bits, little-endian). */
export function encodeRecord (record: LogRecord): Buffer {
  const body = encode(record)
  const header = Buffer.allocUnsafe(headerBytes)
  header.writeUInt32LE(body.length, 0)
  header.writeUInt32LE(crc32(body), 4)
  return Buffer.concat([header, body])
}

/**
 * Decodes the records of a file. A torn tail that was never acknowledged (cut
 * short, or never written and therefore zero) is ignored. Any other record that
 * fails its checksum throws `DamagedLogError`.
 */
export function decodeRecords (bytes: Buffer): DecodedRecords {
  const records: LogRecord[] = []
  let at = 0
  while (at < bytes.length) {
    const record = readRecord(bytes, at)
    if (record === 'short') break
    if (record === 'bad') {
      assertTornTail(bytes, at)
      break
    }
    records.push(record.value)
    at = record.end
  }
  return { records, length: at }
}

type DecodedRecord = { readonly value: LogRecord, readonly end: number }

function readRecord (bytes: Buffer, at: number): DecodedRecord | 'short' | 'bad' {
  if (at + headerBytes > bytes.length) return 'short'
  const length = bytes.readUInt32LE(at)
  if (length === 0 || length > maxRecordBytes) return 'bad'
  const end = at + headerBytes + length
  if (end > bytes.length) return hasLaterMark(bytes, at) ? 'bad' : 'short'
  const body = bytes.subarray(at + headerBytes, end)
  if (crc32(body) !== bytes.readUInt32LE(at + 4)) return 'bad'
  return { value: decode(body) as LogRecord, end }
}

// A write that never reached the disk leaves zeros up to the end of the file.
function assertTornTail (bytes: Buffer, at: number): void {
  const rest = bytes.subarray(at)
  if (hasLaterMark(bytes, at)) throw new DamagedLogError(at, 'a later batch confirms that it was synced')
  const length = rest.readUInt32LE(0)
  const tail = length === 0 ? rest : rest.subarray(headerBytes)
  if (length <= maxRecordBytes && hasTrailingZero(tail)) return
  throw new DamagedLogError(at, 'checksum does not match')
}

function hasTrailingZero (bytes: Buffer): boolean {
  return bytes.length === 0 || bytes[bytes.length - 1] === 0
}

// True if a later batch has a mark showing that offset `at` was synced before that batch.
function hasLaterMark (bytes: Buffer, at: number): boolean {
  for (let next = at + 1; next + headerBytes <= bytes.length; next++) {
    const length = bytes.readUInt32LE(next)
    if (length < 4 || length > 64) continue
    const end = next + headerBytes + length
    if (end > bytes.length) continue
    const body = bytes.subarray(next + headerBytes, end)
    if (crc32(body) !== bytes.readUInt32LE(next + 4)) continue
    const record = decode(body) as LogRecord
    if (record.type === 'mark' && record.synced > at) return true
  }
  return false
}
