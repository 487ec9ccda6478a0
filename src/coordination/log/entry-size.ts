import type { LogEntry } from './log-types.js'

/** Bytes of an entry beyond its texts and bytes, and of each value in it, about. */
const entryBytes = 64
const valueBytes = 8

const sizes = new WeakMap<LogEntry, number>()

/** The size of an entry in a message, bytes, about; computed once for each entry. */
export function estimateEntryBytes (entry: LogEntry): number {
  const known = sizes.get(entry)
  if (known !== undefined) return known
  const size = entryBytes + estimateBytes(entry.content)
  sizes.set(entry, size)
  return size
}

/** The first of `entries`, as many as fit into `maxBytes`, but one at least. */
export function limitEntries (entries: readonly LogEntry[], maxBytes: number): readonly LogEntry[] {
  let bytes = 0
  const end = entries.findIndex((entry, i) => {
    bytes += estimateEntryBytes(entry)
    return i > 0 && bytes > maxBytes
  })
  return end < 0 ? entries : entries.slice(0, end)
}

function estimateBytes (value: unknown): number {
  if (typeof value === 'string') return value.length
  if (ArrayBuffer.isView(value)) return value.byteLength
  if (typeof value !== 'object' || value === null) return valueBytes
  return Object.values(value).reduce<number>((sum, one) => sum + estimateBytes(one), valueBytes)
}
