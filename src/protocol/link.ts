/**
 * A connection between two boxes. Both sides send a hello with a nonce. Where
 * the boxes share a secret, every later frame carries an HMAC over its sequence
 * number and body. Messages sent in one turn of the event loop share a frame.
 * TCP does not report a network partition in time, so a link can have heartbeats
 * and closes when none arrives.
 */
import { randomBytes } from 'node:crypto'
import type { Socket } from 'node:net'
import type { Arrival, ClientMemory, HybridClock } from '../runtime/index.js'
import { decodeBody, encodeBody } from './frame-body.js'
import { HmacAuthenticator, deriveKeys, noAuthentication } from './frame-authentication.js'
import type { FrameAuthenticator, FrameSide } from './frame-authentication.js'
import { FrameSplitter, frameBytes } from './frame-splitter.js'
import { decodeUntrusted, encodeValue } from './value-codec.js'

const maxFrameBytes = 64 * 2 ** 20
const maxHelloBytes = 1024
const maxUnsentBytes = 64 * 2 ** 20
/** Incomplete frames up to this size are not accounted for, bytes. */
const freeFrameBytes = 4096
const nonceBytes = 16
const protocolVersion = 1
const helloTimeoutMs = 5000

interface Hello {
  readonly v: number
  readonly id: string
  readonly nonce: Uint8Array
}

/** Why this side closed a link. */
export type LinkFault = 'bad-frame' | 'bad-code' | 'bad-hello' | 'too-large' | 'too-slow' | 'silent' | 'no-memory'

/** Heartbeat timing of a link, ms. */
export interface LinkHeartbeat {
  /** The longest time between two sent frames. */
  readonly intervalMs: number
  /** A link that receives nothing for this long is closed. */
  readonly timeoutMs: number
}

/** Identity of this side and handlers of the link's events. */
export interface LinkHost<Message> {
  readonly id: string
  /** The shared secret; null disables the authentication of frames. */
  readonly secret: string | null
  /** Undefined for links without heartbeats. */
  readonly heartbeat?: LinkHeartbeat
  readonly clock: HybridClock
  /** Accounts for incomplete frames of accepted links until the shared secret has verified one; undefined for no account. */
  readonly memory?: ClientMemory
  receive (link: Link<Message>, message: Message): void
  noteOpen (link: Link<Message>): void
  noteClosed (link: Link<Message>): void
  noteFault (fault: LinkFault, peer: string): void
}

export class Link<Message> {
  #socket: Socket
  #side: FrameSide
  #host: LinkHost<Message>
  #nonce = randomBytes(nonceBytes)
  #splitter = new FrameSplitter(maxHelloBytes)
  #outgoing: FrameAuthenticator | null = null
  #incoming: FrameAuthenticator | null = null
  #peer = ''
  #peerHost: string
  #queue: Message[] = []
  #isFlushScheduled = false
  #helloTimer: NodeJS.Timeout
  #heartbeatTimer: NodeJS.Timeout | null = null
  #lastReceivedAt = 0
  #hasTimedOut = false
  /** True once the shared secret has verified a frame of the peer. */
  #isTrusted = false
  #arrival: Arrival | null = null
  #lastSentAt = 0
  bytesIn = 0
  bytesOut = 0

  constructor (socket: Socket, side: FrameSide, host: LinkHost<Message>) {
    this.#socket = socket
    this.#side = side
    this.#host = host
    this.#peerHost = socket.remoteAddress ?? ''
    socket.setNoDelay(true)
    socket.on('data', chunk => this.#read(chunk))
    socket.on('error', () => {})
    socket.on('close', () => this.#handleClose())
    this.#helloTimer = setTimeout(() => socket.destroy(), helloTimeoutMs)
    const hello: Hello = { v: protocolVersion, id: host.id, nonce: this.#nonce }
    this.#write(frameBytes([encodeValue(hello)]))
  }

  /** When data was last received, as of `performance.now()`. */
  get lastReceivedAt (): number { return this.#lastReceivedAt }
  /** The peer's IP address. */
  get peerHost (): string { return this.#peerHost }
  /** The peer's name; empty before its hello. */
  get peer (): string { return this.#peer }
  /** True where this side closed the link for lack of heartbeats. */
  get hasTimedOut (): boolean { return this.#hasTimedOut }
  get isOpen (): boolean { return this.#outgoing !== null && !this.#socket.destroyed }

  /** Queues a message for sending; false where the link is not open. */
  send (message: Message): boolean {
    if (!this.isOpen) return false
    this.#queue.push(message)
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true
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
    this.#isFlushScheduled = false
    if (this.#outgoing === null || this.#queue.length === 0 || this.#socket.destroyed) return
    const messages = this.#queue
    this.#queue = []
    this.#sendFrame(messages)
  }

  #sendFrame (messages: readonly Message[]): void {
    if (this.#outgoing === null || this.#socket.destroyed) return
    const body = encodeBody(this.#host.clock.read(), messages)
    this.#write(frameBytes([this.#outgoing.sign(body), body]))
    if (this.#socket.writableLength > maxUnsentBytes) this.#fail('too-slow')
  }

  #write (bytes: Buffer): void {
    this.bytesOut += bytes.length
    this.#lastSentAt = performance.now()
    this.#socket.write(bytes)
  }

  #read (chunk: Buffer): void {
    this.bytesIn += chunk.length
    this.#lastReceivedAt = performance.now()
    this.#splitter.add(chunk)
    for (let frame = this.#nextFrame(); frame !== null; frame = this.#nextFrame()) {
      if (this.#incoming === null) this.#readHello(frame)
      else this.#readFrame(frame, this.#incoming)
    }
    if (this.#host.memory !== undefined && this.#side === 'listener') this.#account(this.#host.memory)
  }

  // Anybody can send a hello and most of a large frame.
  #account (memory: ClientMemory): void {
    const { heldBytes } = this.#splitter
    const bytes = this.#isTrusted || heldBytes <= freeFrameBytes ? 0 : heldBytes
    if (bytes === 0) {
      this.#arrival?.end()
      this.#arrival = null
      return
    }
    this.#arrival ??= memory.open(() => this.#fail('no-memory'))
    this.#arrival.resize(bytes)
  }

  #nextFrame (): Buffer | null {
    if (this.#socket.destroyed) return null
    try {
      return this.#splitter.next()
    } catch {
      this.#fail('too-large')
      return null
    }
  }

  #readHello (frame: Buffer): void {
    const hello = decodeUntrusted(frame) as Hello | undefined
    if (hello === undefined || hello.v !== protocolVersion || typeof hello.id !== 'string' || hello.nonce?.length !== nonceBytes) {
      return this.#fail('bad-hello')
    }
    this.#peer = hello.id
    this.#setAuthenticators(this.#host.secret, hello.nonce)
    // Large frames are accepted only after a valid hello.
    this.#splitter.setMaxFrameBytes(maxFrameBytes)
    clearTimeout(this.#helloTimer)
    this.#startHeartbeat()
    this.#host.noteOpen(this)
  }

  #setAuthenticators (secret: string | null, peerNonce: Uint8Array): void {
    if (secret === null) {
      this.#outgoing = noAuthentication
      this.#incoming = noAuthentication
      return
    }
    const isCaller = this.#side === 'caller'
    const keys = isCaller ? deriveKeys(secret, this.#nonce, peerNonce) : deriveKeys(secret, peerNonce, this.#nonce)
    this.#outgoing = new HmacAuthenticator(isCaller ? keys.caller : keys.listener)
    this.#incoming = new HmacAuthenticator(isCaller ? keys.listener : keys.caller)
  }

  #startHeartbeat (): void {
    const { heartbeat } = this.#host
    if (heartbeat === undefined) return
    this.#heartbeatTimer = setInterval(() => {
      const now = performance.now()
      if (now - this.#lastReceivedAt > heartbeat.timeoutMs) return this.#fail('silent')
      if (now - this.#lastSentAt >= heartbeat.intervalMs) this.#sendFrame([])
    }, heartbeat.intervalMs / 2)
  }

  #readFrame (frame: Buffer, authenticator: FrameAuthenticator): void {
    if (frame.length < authenticator.macBytes) return this.#fail('bad-frame')
    const body = frame.subarray(authenticator.macBytes)
    if (!authenticator.verify(frame.subarray(0, authenticator.macBytes), body)) return this.#fail('bad-code')
    this.#isTrusted = this.#host.secret !== null
    const decoded = decodeBody(body)
    if (decoded === undefined) return this.#fail('bad-frame')
    this.#host.clock.merge(decoded.time)
    for (const message of decoded.messages) this.#host.receive(this, message as Message)
  }

  #fail (fault: LinkFault): void {
    this.#hasTimedOut = fault === 'silent'
    this.#host.noteFault(fault, this.#peer)
    this.#socket.destroy()
  }

  #handleClose (): void {
    this.#arrival?.end()
    clearTimeout(this.#helloTimer)
    if (this.#heartbeatTimer !== null) clearInterval(this.#heartbeatTimer)
    this.#host.noteClosed(this)
  }
}
