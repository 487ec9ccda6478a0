/**
 * One connection of a client. Its requests are served one after another, in the order in which they came: while one
 * waits, nothing more is read. What Node reads at once is parsed in small pieces, as a single read can hold thousands
 * of requests, each of which takes far more memory than its bytes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Arrival, ClientMemory } from './client-memory.js'
import type { ConnectionStage, StagedConnection } from './refusal-choice.js'

/** A request, and the response to be written for it. */
export interface HttpExchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
}

/** What a connection needs from its server. */
export interface ClientConnectionHost {
  readonly memory: ClientMemory
  serve (exchange: HttpExchange): void
  /** Notes that the connection is refused for lack of memory. */
  noteRefused (): void
}

/** Bytes that are parsed at once. */
const pieceBytes = 4096
/** Heads up to this size are not accounted for, bytes. */
const freeHeadBytes = 4096
/** Memory of a head for each of its bytes, about: short fields take far more than their text. */
const headFactor = 8
/** Memory of a request that waits behind another, beyond its bytes. */
const waitingBytes = 4096
/** `retry-after` of a request that is refused for lack of memory, s. */
const retryAfterSeconds = '0.5'
const noRoomAnswer = `HTTP/1.1 503 Service Unavailable\r\nretry-after: ${retryAfterSeconds}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`

export class ClientConnection implements StagedConnection {
  readonly socket: Socket
  #host: ClientConnectionHost
  #current: HttpExchange | null = null
  /** The request of which only the head is complete; its body may still be discarded after its answer. */
  #arriving: IncomingMessage | null = null
  #waiting: HttpExchange[] = []
  #startedAt = performance.now()
  #movedAt = this.#startedAt
  #servedCount = 0
  /** Bytes that arrived after the last complete head and body. */
  #headBytes = 0
  /** Null while nothing is accounted for. */
  #arrival: Arrival | null = null
  /** Written, in place of answers to further requests, before the connection is closed. */
  #lastAnswer: string | null = null

  constructor (socket: Socket, host: ClientConnectionHost) {
    this.socket = socket
    this.#host = host
    const { push } = socket
    socket.push = (chunk: Buffer | null) => chunk === null ? push.call(socket, null) : this.#receive(chunk, push)
    socket.on('close', () => this.#arrival?.end())
  }

  /** To be called once the HTTP parser is attached: what it has parsed is looked at after each piece. */
  watch (): void {
    this.socket.on('data', (piece: Buffer) => this.#notePiece(piece.length))
  }

  get stage (): ConnectionStage {
    if (this.#isReceiving) return 'receiving'
    if (this.#current !== null) return 'serving'
    return this.#servedCount > 0 && this.#headBytes === 0 ? 'resting' : 'opening'
  }

  get since (): number { return this.stage === 'opening' && this.#servedCount === 0 ? this.#startedAt : this.#movedAt }

  /** True while further requests of it wait behind the one that is served. */
  get hasWaiting (): boolean { return this.#waiting.length > 0 }

  /** Serves a request once those before it have been answered. */
  add (exchange: HttpExchange): void {
    this.#headBytes = 0
    this.#arriving = exchange.request
    if (this.#lastAnswer !== null || this.socket.writableEnded) return
    if (this.#current === null && this.#waiting.length === 0) this.#serve(exchange)
    else this.#wait(exchange)
  }

  /** Closes the connection after this answer, unless a further request waits for its own. */
  closeAfter (response: ServerResponse): void {
    if (!response.headersSent && this.#waiting.length === 0) response.setHeader('connection', 'close')
  }

  #wait (exchange: HttpExchange): void {
    this.#waiting.push(exchange)
    if (this.#current?.response.headersSent === false) this.#current.response.removeHeader('connection')
  }

  /** Reads no further request: `answer` is written after the answers to those that were read, and the connection closed. */
  end (answer: string): void {
    this.#lastAnswer ??= answer
    this.#writeLast()
  }

  #receive (chunk: Buffer, push: Socket['push']): boolean {
    this.#movedAt = performance.now()
    this.#host.memory.noteRead(chunk.length)
    if (chunk.length <= pieceBytes) return push.call(this.socket, chunk)
    let mayReadOn = true
    for (let start = 0; start < chunk.length && !this.socket.destroyed; start += pieceBytes) mayReadOn = push.call(this.socket, chunk.subarray(start, start + pieceBytes))
    return mayReadOn
  }

  #notePiece (bytes: number): void {
    this.#headBytes = this.#isReceiving ? 0 : this.#headBytes + bytes
    if (this.#isHeld) this.socket.pause()
    if (this.#isHeld || this.#headBytes > freeHeadBytes || this.#arrival !== null) this.#account()
  }

  // A complete request is let go of, as what has read its body may refer to the body.
  get #isReceiving (): boolean {
    if (this.#arriving?.complete === true) this.#arriving = null
    return this.#arriving !== null
  }

  get #isHeld (): boolean { return this.#waiting.length > 0 || this.#lastAnswer !== null }

  #account (): void {
    const headBytes = this.#headBytes > freeHeadBytes ? this.#headBytes * headFactor : 0
    const bytes = headBytes + (this.#waiting.length === 0 ? 0 : this.#waiting.length * waitingBytes + this.socket.readableLength)
    if (bytes === 0) {
      this.#arrival?.end()
      this.#arrival = null
      return
    }
    this.#arrival ??= this.#host.memory.open(() => this.#refuse())
    this.#arrival.resize(bytes)
  }

  // Requests that wait have not begun, so they are dropped; the one that is served goes on.
  #refuse (): void {
    this.#host.noteRefused()
    this.#waiting = []
    this.end(noRoomAnswer)
  }

  #serve (exchange: HttpExchange): void {
    this.#current = exchange
    exchange.response.on('close', () => this.#serveNext())
    this.#host.serve(exchange)
  }

  #serveNext (): void {
    this.#current = null
    this.#servedCount += 1
    this.#movedAt = performance.now()
    if (this.socket.destroyed || (this.#isReceiving && this.#lastAnswer === null)) return
    // One request a turn of the event loop, so that a connection with many of them doesn't hold up the others.
    if (this.#isHeld || this.socket.isPaused()) setImmediate(() => this.#serveWaiting())
    else this.#writeLast()
  }

  #serveWaiting (): void {
    if (this.socket.destroyed || this.#current !== null) return
    const next = this.#waiting.shift()
    // Served before the account, which may refuse what still waits.
    if (next !== undefined) this.#serve(next)
    if (this.#arrival !== null) this.#account()
    if (next === undefined) this.#writeLast()
    this.#readOn()
  }

  // While the connection's buffer is full, Node's parser is paused, and goes on at `drain`: before that it takes input for malformed.
  #readOn (): void {
    if (this.#isHeld || this.socket.destroyed || !this.socket.isPaused()) return
    if (this.socket.writableNeedDrain) this.socket.once('drain', () => this.#readOn())
    else this.socket.resume()
  }

  #writeLast (): void {
    if (this.#lastAnswer === null || this.stage === 'serving' || this.#waiting.length > 0) return
    const isAnswered = this.#current?.response.headersSent === true
    if (!isAnswered && this.socket.writable) this.socket.write(this.#lastAnswer)
    this.socket.destroySoon()
  }
}
