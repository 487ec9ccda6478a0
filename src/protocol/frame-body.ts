/** The body of a link's frame: the sender's hybrid time and a batch of messages. */
import type { HybridTime } from '../runtime/index.js'
import { decodeUntrusted, encodeValue } from './value-codec.js'

/** Encoded messages, so that a message to hundreds of links is encoded once. Entries live as long as the message object. */
const encodedMessages = new WeakMap<object, Buffer>()

/** CBOR initial bytes: an array of three, arrays of up to 23 items, and arrays with an 8, 16 or 32-bit length. */
const arrayOfThree = Buffer.from([0x83])
const shortArray = 0x80
const [array8, array16, array32] = [0x98, 0x99, 0x9a]

/** Encodes the body of a frame. Message objects must not be modified afterwards, as their encoding is cached. */
export function encodeBody ({ ms, count }: HybridTime, messages: readonly unknown[]): Buffer {
  return Buffer.concat([arrayOfThree, encodeValue(ms), encodeValue(count), encodeArrayHeader(messages.length), ...messages.map(encodeCached)])
}

/** Decodes the body of a frame; undefined for invalid bytes. */
export function decodeBody (bytes: Uint8Array): { readonly time: HybridTime, readonly messages: readonly unknown[] } | undefined {
  const decoded = decodeUntrusted(bytes)
  if (!Array.isArray(decoded) || !Array.isArray(decoded[2])) return undefined
  const [ms, count, messages] = decoded as [number, number, unknown[]]
  return { time: { ms, count }, messages }
}

function encodeCached (message: unknown): Buffer {
  if (typeof message !== 'object' || message === null) return encodeValue(message)
  let bytes = encodedMessages.get(message)
  if (bytes === undefined) encodedMessages.set(message, bytes = encodeValue(message))
  return bytes
}

function encodeArrayHeader (length: number): Buffer {
  if (length < 24) return Buffer.from([shortArray | length])
  if (length < 2 ** 8) return Buffer.from([array8, length])
  if (length < 2 ** 16) return Buffer.from([array16, length >> 8, length & 0xff])
  const head = Buffer.alloc(5, array32)
  head.writeUInt32BE(length, 1)
  return head
}
