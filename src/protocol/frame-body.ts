/** The body of a link's frame: its time, and the messages of one turn. */
import type { HybridTime } from '../runtime/index.js'
import { decodeForeign, encodeValue } from './value-codec.js'

/** A message to hundreds of links is encoded once: what it came to is kept as long as the message itself. */
const encoded = new WeakMap<object, Buffer>()

/** CBOR's first byte of a list of three, and of lists whose length follows in one, two or four bytes. */
const listOfThree = Buffer.from([0x83])
const shortList = 0x80
const [byteList, wordList, longList] = [0x98, 0x99, 0x9a]

/** Encodes the body of a frame. Messages must not be changed once they were sent. */
export function encodeBody ({ ms, count }: HybridTime, messages: readonly unknown[]): Buffer {
  return Buffer.concat([listOfThree, encodeValue(ms), encodeValue(count), encodeListHead(messages.length), ...messages.map(encodeOnce)])
}

/** Decodes the body of a frame; undefined for bytes that are none. */
export function decodeBody (bytes: Uint8Array): { readonly time: HybridTime, readonly messages: readonly unknown[] } | undefined {
  const decoded = decodeForeign(bytes)
  if (!Array.isArray(decoded) || !Array.isArray(decoded[2])) return undefined
  const [ms, count, messages] = decoded as [number, number, unknown[]]
  return { time: { ms, count }, messages }
}

function encodeOnce (message: unknown): Buffer {
  if (typeof message !== 'object' || message === null) return encodeValue(message)
  let bytes = encoded.get(message)
  if (bytes === undefined) encoded.set(message, bytes = encodeValue(message))
  return bytes
}

function encodeListHead (length: number): Buffer {
  if (length < 24) return Buffer.from([shortList | length])
  if (length < 2 ** 8) return Buffer.from([byteList, length])
  if (length < 2 ** 16) return Buffer.from([wordList, length >> 8, length & 0xff])
  const head = Buffer.alloc(5, longList)
  head.writeUInt32BE(length, 1)
  return head
}
