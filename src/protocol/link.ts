/**
 * A connection between two boxes. Both sides send a hello with a nonce; where
 * the boxes share a secret, every later frame carries a code over its number and
 * body. Messages of one turn share a frame. A peer behind a cut says nothing, so
 * a link may be given heartbeats, and ends when it hears none.
 */
import { randomBytes } from 'node:crypto'
import type { Socket } from 'node:net'
import type { HybridClock } from '../runtime/index.js'
import { decodeBody, encodeBody } from './frame-body.js'
import { FrameSeal, deriveKeys, openCode } from './frame-cipher.js'
import type { FrameCode, FrameSide } from './frame-cipher.js'
import { FrameSplitter, frameBytes } from './frame-splitter.js'
import { decodeForeign, encodeValue } from './value-codec.js'

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
export type LinkFault = 'bad-frame' | 'bad-code' | 'bad-hello' | 'too-large' | 'too-slow' | 'silent'

/** Heartbeats of a link, ms. */
export interface LinkPulse {
  /** A frame is sent at least this often. */
  readonly everyMs: number
  /** A link that heard nothing for so long is closed. */
  readonly silentMs: number
}

/** Who this side is, and what it makes of the other's words. */
export interface LinkHost<Message> {
  readonly id: string
  /** Null where the boxes share none: frames are then not authenticated. */
  readonly secret: string | null
  /** Left out where links have no heartbeats. */
  readonly pulse?: LinkPulse
  readonly clock: HybridClock
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
  #splitter = new FrameSplitter(largestHello)
  #out: FrameCode | null = null
  #in: FrameCode | null = null
  #peer = ''
  #peerHost: string
  #queue: Message[] = []
  #scheduled = false
  #helloTimer: NodeJS.Timeout
  #pulseTimer: NodeJS.Timeout | null = null
  #heardAt = 0
  #wasSilent = false
  #saidAt = 0
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
    socket.on('close', () => this.#noteClosed())
    this.#helloTimer = setTimeout(() => socket.destroy(), helloMs)
    const hello: Hello = { v: version, id: host.id, nonce: this.#nonce }
    this.#write(frameBytes([encodeValue(hello)]))
  }

  /** When anything was last heard on this link, on the process's rising clock, ms. */
  get heardAt (): number { return this.#heardAt }
  /** The other box's IP number. */
  get peerHost (): string { return this.#peerHost }
  /** The other box's name, once the link is open. */
  get peer (): string { return this.#peer }
  /** True where this side closed the link as nothing was heard on it. */
  get wasSilent (): boolean { return this.#wasSilent }
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
    const messages = this.#queue
    this.#queue = []
    this.#sendFrame(messages)
  }

  #sendFrame (messages: readonly Message[]): void {
    if (this.#out === null || this.#socket.destroyed) return
    const body = encodeBody(this.#host.clock.read(), messages)
    this.#write(frameBytes([this.#out.sign(body), body]))
    if (this.#socket.writableLength > mostUnsent) this.#fail('too-slow')
  }

  #write (bytes: Buffer): void {
    this.bytesOut += bytes.length
    this.#saidAt = performance.now()
    this.#socket.write(bytes)
  }

  #read (chunk: Buffer): void {
    this.bytesIn += chunk.length
    this.#heardAt = performance.now()
    this.#splitter.add(chunk)
    for (let frame = this.#nextFrame(); frame !== null; frame = this.#nextFrame()) {
      if (this.#in === null) this.#readHello(frame)
      else this.#readFrame(frame, this.#in)
    }
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
    const hello = decodeForeign(frame) as Hello | undefined
    if (hello === undefined || hello.v !== version || typeof hello.id !== 'string' || hello.nonce?.length !== nonceBytes) {
      return this.#fail('bad-hello')
    }
    this.#peer = hello.id
    this.#setCodes(this.#host.secret, hello.nonce)
    // Only a peer that has said hello may send large frames.
    this.#splitter.widen(largestFrame)
    clearTimeout(this.#helloTimer)
    this.#startPulse()
    this.#host.noteOpen(this)
  }

  #setCodes (secret: string | null, theirs: Uint8Array): void {
    if (secret === null) {
      this.#out = openCode
      this.#in = openCode
      return
    }
    const isCaller = this.#side === 'caller'
    const keys = isCaller ? deriveKeys(secret, this.#nonce, theirs) : deriveKeys(secret, theirs, this.#nonce)
    this.#out = new FrameSeal(isCaller ? keys.caller : keys.listener)
    this.#in = new FrameSeal(isCaller ? keys.listener : keys.caller)
  }

  #startPulse (): void {
    const { pulse } = this.#host
    if (pulse === undefined) return
    this.#pulseTimer = setInterval(() => {
      const now = performance.now()
      if (now - this.#heardAt > pulse.silentMs) return this.#fail('silent')
      if (now - this.#saidAt >= pulse.everyMs) this.#sendFrame([])
    }, pulse.everyMs / 2)
  }

  #readFrame (frame: Buffer, code: FrameCode): void {
    if (frame.length < code.bytes) return this.#fail('bad-frame')
    const body = frame.subarray(code.bytes)
    if (!code.verify(frame.subarray(0, code.bytes), body)) return this.#fail('bad-code')
    const decoded = decodeBody(body)
    if (decoded === undefined) return this.#fail('bad-frame')
    this.#host.clock.merge(decoded.time)
    for (const message of decoded.messages) this.#host.receive(this, message as Message)
  }

  #fail (fault: LinkFault): void {
    this.#wasSilent = fault === 'silent'
    this.#host.noteFault(fault, this.#peer)
    this.#socket.destroy()
  }

  #noteClosed (): void {
    clearTimeout(this.#helloTimer)
    if (this.#pulseTimer !== null) clearInterval(this.#pulseTimer)
    this.#host.noteClosed(this)
  }
}
