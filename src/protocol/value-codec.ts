/** The CBOR encoding of values that boxes exchange. */
import { Encoder } from 'cbor-x'

// Keys of per-request messages, which are encoded as numbers. The numbers are part
// of the wire format: never reuse one for another key, and append new keys.
const numberedKeys = [
  'type', 'shard', 'word', 'submission', 'request', 'attempt', 'box', 'class', 'workspace', 'model', 'promptTokens',
  'prefix', 'deadline', 'exclude', 'resumed', 'leftMs', 'answer', 'engine', 'priority', 'how', 'tokens', 'reason',
  'retryAfterMs', 'lowerCouldYield', 'loads', 'demands', 'from', 'news', 'digest', 'number', 'id', 'incarnation',
  'zone', 'host', 'port', 'state', 'version', 'message', 'entries', 'index', 'term', 'time', 'content', 'command',
  'endpoint', 'running', 'memory', 'waiting', 'largest', 'service', 'patient', 'brisk', 'apart', 'base', 'held', 'holders',
  'gaps', 'zones', 'prompts', 'readingPauseMs', 'backedOff', 'call', 'notice', 'born', 'stamp', 'perSecond', 'isLeaving',
  'wants', 'grants', 'closed', 'leader', 'notices', 'report', 'seen', 'avoided', 'brittle'
]

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
  keyMap: Object.fromEntries(numberedKeys.map((key, i) => [key, i + 1]))
} as ConstructorParameters<typeof Encoder>[0])

export function encodeValue (value: unknown): Buffer { return codec.encode(value) }

/** Decodes a trusted value; throws on invalid bytes. */
export function decodeValue (bytes: Uint8Array): unknown { return codec.decode(bytes) }

/** Decodes bytes from the network; undefined for invalid ones. */
export function decodeUntrusted (bytes: Uint8Array): unknown {
  try {
    return decodeValue(bytes)
  } catch {
    return undefined
  }
}
