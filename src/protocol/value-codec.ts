/** How values are written between boxes. */
import { Encoder } from 'cbor-x'

// Keys of the words that cross for every request, by number instead of name.
// Numbers are never used again for another key; new keys go to the end.
const shortKeys = [
  'type', 'shard', 'word', 'submission', 'request', 'attempt', 'box', 'class', 'workspace', 'model', 'promptTokens',
  'prefix', 'deadline', 'exclude', 'resumed', 'leftMs', 'answer', 'engine', 'priority', 'how', 'tokens', 'reason',
  'retryAfterMs', 'lowerCouldYield', 'loads', 'demands', 'from', 'news', 'digest', 'number', 'id', 'incarnation',
  'zone', 'host', 'port', 'state', 'version', 'message', 'entries', 'index', 'term', 'time', 'content', 'command',
  'endpoint', 'running', 'memory', 'waiting', 'largest', 'service', 'patient', 'brisk', 'apart', 'base', 'held', 'holders',
  'gaps', 'zones', 'prompts', 'readingPauseMs', 'backedOff', 'call', 'notice', 'born', 'stamp', 'perSecond', 'isLeaving',
  'wants', 'grants', 'closed', 'leader', 'notices'
]

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
  keyMap: Object.fromEntries(shortKeys.map((key, i) => [key, i + 1]))
} as ConstructorParameters<typeof Encoder>[0])

/** Encodes a value as it crosses a link. */
export function encodeValue (value: unknown): Buffer { return codec.encode(value) }

/** Decodes a value that this process has encoded; throws for other bytes. */
export function decodeValue (bytes: Uint8Array): unknown { return codec.decode(bytes) }

/** Decodes what came from the network; undefined for bytes that are no value. */
export function decodeForeign (bytes: Uint8Array): unknown {
  try {
    return decodeValue(bytes)
  } catch {
    return undefined
  }
}
