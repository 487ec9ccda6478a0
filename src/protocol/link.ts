/**
 * An authenticated connection between two boxes. Both sides send a hello with a
 * nonce; every later frame carries a code over its number and body. Messages of
 * one turn share a frame.
 */
import { randomBytes } from 'node:crypto'
import type { Socket } from 'node:net'
import { Encoder } from 'cbor-x'
import type { HybridClock, HybridTime } from '../runtime/index.js'
import { FrameSeal, deriveKeys, frameMacBytes } from './frame-cipher.js'
import type { FrameSide } from './frame-cipher.js'
import { FrameSplitter, frameBytes } from './frame-splitter.js'

const largestFrame = 64 * 2 ** 20
const largestHello = 1024
const mostUnsent = 64 * 2 ** 20
const nonceBytes = 16
const version = 1
const helloMs = 5000

interface Hello {
  readonly v: number
  readonly id: string
  readonly nonce: Uint8Array
}

/** Why a link was closed by this side. */
export type LinkFault = 'bad-frame' | 'bad-code' | 'bad-hello' | 'too-large' | 'too-slow'

/** Who this side is, and what it makes of the other's words. */
export interface LinkHost<Message> {
  readonly id: string
  readonly secret: string
  readonly clock: HybridClock
  receive (link: Link<Message>, message: Message): void
  noteOpen (link: Link<Message>): void
  noteClosed (link: Link<Message>): void
  noteFault (fault: LinkFault, peer: string): void
}

// Keys of the words that cross for every request, by number instead of name.
// Numbers are never used again for another key; new keys go to the end.
const shortKeys = [
  'type', 'shard', 'word', 'submission', 'request', 'attempt', 'box', 'class', 'workspace', 'model', 'promptTokens',
  'prefix', 'deadline', 'exclude', 'resumed', 'leftMs', 'answer', 'engine', 'priority', 'how', 'tokens', 'reason',
  'retryAfterMs', 'lowerCouldYield', 'loads', 'demands', 'from', 'news', 'digest', 'number', 'id', 'incarnation',
  'zone', 'host', 'port', 'state', 'version', 'message', 'entries', 'index', 'term', 'time', 'content', 'command'
]

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
  keyMap: Object.fromEntries(shortKeys.map((key, i) => [key, i + 1]))
} as ConstructorParameters<typeof Encoder>[0])

/** Encodes a value as it crosses a link. */
export function encodeValue (value: unknown): Buffer { return codec.encode(value) }

/** Decodes a value from a link. */
export function decodeValue (bytes: Uint8Array): unknown { return codec.decode(bytes) }

export class Link<Message> {
  #socket: Socket
  #side: FrameSide
  #host: LinkHost<Message>
  #nonce = randomBytes(nonceBytes)
  #splitter = new FrameSplitter(largestHello)
  #out: FrameSeal | null = null
  #in: FrameSeal | null = null
  #peer = ''
  #queue: Message[] = []
  #scheduled = false
  #helloTimer: NodeJS.Timeout
  bytesIn = 0
  bytesOut = 0

  constructor (socket: Socket, side: FrameSide, host: LinkHost<Message>) {
    this.#socket = socket
    this.#side = side
    this.#host = host
    socket.setNoDelay(true)
    socket.on('data', chunk => this.#read(chunk))
    socket.on('error', () => {})
    socket.on('close', () => this.#noteClosed())
    this.#helloTimer = setTimeout(() => socket.destroy(), helloMs)
    const hello: Hello = { v: version, id: host.id, nonce: this.#nonce }
    this.#write(frameBytes([encodeValue(hello)]))
  }

  /** The other box's name, once the link is open. */
  get peer (): string { return this.#peer }
  get isOpen (): boolean { return this.#out !== null && !this.#socket.destroyed }

  /** Sends a message; false where the link is not open. */
  send (message: Message): boolean {
    if (!this.isOpen) return false
    this.#queue.push(message)
    if (!this.#scheduled) {
      this.#scheduled = true
      setImmediate(() => this.#flush())
    }
    return true
  }

  close (): void {
    if (this.isOpen) this.#flush()
    this.#socket.end()
    this.#socket.destroySoon()
  }

  #flush (): void {
    this.#scheduled = false
    if (this.#out === null || this.#queue.length === 0 || this.#socket.destroyed) return
    const time = this.#host.clock.read()
    const body = encodeValue([time.ms, time.count, this.#queue])
    this.#queue = []
    this.#write(frameBytes([this.#out.sign(body), body]))
    if (this.#socket.writableLength > mostUnsent) this.#fail('too-slow')
  }

  #write (bytes: Buffer): void {
    this.bytesOut += bytes.length
    this.#socket.write(bytes)
  }

  #read (chunk: Buffer): void {
    this.bytesIn += chunk.length
    let frames
    try {
      frames = this.#splitter.push(chunk)
    } catch {
      return this.#fail('too-large')
    }
    for (const frame of frames) {
      if (this.#socket.destroyed) return
      if (this.#in === null) this.#readHello(frame)
      else this.#readFrame(frame, this.#in)
    }
  }

  #readHello (frame: Buffer): void {
    const hello = this.#decode(frame) as Hello | undefined
    if (hello === undefined || hello.v !== version || typeof hello.id !== 'string' || hello.nonce?.length !== nonceBytes) {
      return this.#fail('bad-hello')
    }
    const isCaller = this.#side === 'caller'
    const keys = isCaller ? deriveKeys(this.#host.secret, this.#nonce, hello.nonce) : deriveKeys(this.#host.secret, hello.nonce, this.#nonce)
    this.#peer = hello.id
    this.#out = new FrameSeal(isCaller ? keys.caller : keys.listener)
    this.#in = new FrameSeal(isCaller ? keys.listener : keys.caller)
    this.#splitter = this.#widen()
    clearTimeout(this.#helloTimer)
    this.#host.noteOpen(this)
  }

  // Only a peer that has said hello may send large frames.
  #widen (): FrameSplitter {
    return new FrameSplitter(largestFrame)
  }

  #readFrame (frame: Buffer, seal: FrameSeal): void {
    if (frame.length < frameMacBytes) return this.#fail('bad-frame')
    const body = frame.subarray(frameMacBytes)
    if (!seal.verify(frame.subarray(0, frameMacBytes), body)) return this.#fail('bad-code')
    const decoded = this.#decode(body)
    if (!Array.isArray(decoded)) return this.#fail('bad-frame')
    const [ms, count, messages] = decoded as [number, number, Message[]]
    const time: HybridTime = { ms, count }
    this.#host.clock.merge(time)
    for (const message of messages) this.#host.receive(this, message)
  }

  #decode (bytes: Uint8Array): unknown {
    try {
      return decodeValue(bytes)
    } catch {
      return undefined
    }
  }

  #fail (fault: LinkFault): void {
    this.#host.noteFault(fault, this.#peer)
    this.#socket.destroy()
  }

  #noteClosed (): void {
    clearTimeout(this.#helloTimer)
    this.#host.noteClosed(this)
  }
}
