/**
 * The part of one answer that its caller has not read. Node gets no more than fits under the high-water mark of the
 * caller's connection; the rest waits here, where the box counts it.
 */
import type { ServerResponse } from 'node:http'
import type { HeldAnswer } from '../core/index.js'
import { resetSocket } from '../protocol/index.js'
import type { AdmittedRequest } from './admitted-request.js'
import { ByteQueue } from './byte-queue.js'
import type { AnswerHead } from './endpoint-call.js'
import { passHeaders } from './pass-headers.js'
import { formatConnection } from './send-queues.js'
import type { SendQueues } from './send-queues.js'

/** What the buffer asks of its exchange. */
export interface AnswerBufferHost {
  readonly request: AdmittedRequest
  /** Ends the exchange, as the box has no room for the answer. */
  drop (): void
  /** Reads on from the endpoint, after `mayReceive` has returned false. */
  resumeReceiving (): void
}

/** The box's account of what its buffers hold; `AnswerStore`. */
export interface BufferAccount {
  /** Monotonic time of the box, ms. */
  now (): number
  /** A buffer holds `delta` bytes more than before. */
  noteChange (buffer: AnswerBuffer, delta: number): void
  /** True if the endpoint of this buffer may be read on; else it is resumed later. */
  mayReceive (buffer: AnswerBuffer): boolean
  /** The endpoint of this buffer is no longer waiting to be read. */
  forgetPause (buffer: AnswerBuffer): void
  /** A response was ended; Node may still hold its last bytes. */
  noteEnded (response: ServerResponse): void
}

/** Smallest piece written to a connection that has no room: Node reports room only after a write. */
const minPieceBytes = 1024

export class AnswerBuffer implements HeldAnswer {
  readonly host: AnswerBufferHost
  #store: BufferAccount
  #response: ServerResponse
  #queue = new ByteQueue()
  #receivedBytes = 0
  #isRelayed = false
  #hasLength = false
  #isBlocked = false
  #isDropped = false
  #lastReadAt = 0
  #longestIdleMs = 0
  /** What the system held for the caller when it was last looked at, bytes; null if not since the last write. */
  #queuedBytes: number | null = null
  /** Called once the whole answer has been passed to Node; null until its end has been received. */
  #noteEnd: (() => void) | null = null

  constructor (store: BufferAccount, host: AnswerBufferHost, response: ServerResponse) {
    this.#store = store
    this.host = host
    this.#response = response
    response.on('drain', () => this.#handleDrain())
  }

  get heldBytes (): number { return this.#queue.heldBytes }
  get longestIdleMs (): number { return this.#longestIdleMs }
  /** Bytes of the current answer received so far, whether passed on or not. */
  get receivedBytes (): number { return this.#receivedBytes }

  get idleMs (): number | null {
    if (!this.#isRelayed) return null
    return this.#isBlocked ? this.#store.now() - this.#lastReadAt : 0
  }

  /** Looks at what the system holds for the caller: less than before shows that the caller has read. */
  noteSendQueues (queues: SendQueues): void {
    const { socket } = this.#response
    const connection = socket === null || !this.#isBlocked ? null : formatConnection(socket)
    const queuedBytes = connection === null ? null : queues.get(connection) ?? null
    if (queuedBytes !== null && this.#queuedBytes !== null && queuedBytes < this.#queuedBytes) this.#noteRead()
    this.#queuedBytes = queuedBytes
  }

  /** Sends the head, and what is held and follows as the caller reads it. `length`: of the body, null for a stream. */
  startRelay (head: AnswerHead, length: number | null): void {
    if (this.#isRelayed) return
    this.#isRelayed = true
    this.#hasLength = length !== null
    this.#response.writeHead(head.status, passHeaders(head, length))
    this.#pump()
  }

  /** Adds bytes of the answer. */
  push (bytes: Buffer): void {
    this.#receivedBytes += bytes.length
    if (this.#mayWriteThrough(bytes.length)) {
      if (!this.#response.write(bytes)) this.#noteBlocked()
      return
    }
    const before = this.heldBytes
    this.#queue.push(bytes)
    this.#store.noteChange(this, this.heldBytes - before)
    if (this.#isRelayed) this.#pump()
  }

  // True if the caller keeps up, so that nothing has to be held.
  #mayWriteThrough (size: number): boolean {
    return this.#isRelayed && !this.#isBlocked && this.#noteEnd === null && this.#queue.length === 0 && size <= this.#room
  }

  /** False if no more of the answer may be received until `resumeReceiving`. */
  mayReceive (): boolean { return this.#store.mayReceive(this) }

  /** Completes the answer once the caller has read what is held; then calls `noteEnd`, at once if nothing is held. `head`: sent first if nothing was relayed yet. */
  finish (head: AnswerHead, noteEnd: () => void): void {
    this.#noteEnd = noteEnd
    if (this.#isRelayed) this.#pump()
    else this.startRelay(head, head.isBodiless ? head.length : this.#receivedBytes)
  }

  /** Forgets an answer that was given up before any of it was relayed, so that the request can be retried. */
  discard (): void {
    this.#store.forgetPause(this)
    if (this.#isRelayed) return
    this.#receivedBytes = 0
    this.#clear()
  }

  /** Frees all bytes. Nothing more is passed on. */
  release (): void {
    this.#store.forgetPause(this)
    this.#noteEnd = null
    this.#isRelayed = false
    this.#clear()
  }

  /** Ends an exchange that holds too much. */
  drop (): void {
    this.#isDropped = true
    this.host.drop()
  }

  /** Closes the caller's connection, so that a part of an answer does not look complete. */
  destroy (): void {
    const { socket, chunkedEncoding } = this.#response
    // To a caller of HTTP/1.0, a normal end of the connection would complete a stream. A reset also frees what the system holds for a caller that does not read.
    const mustReset = this.#isDropped || (this.#isRelayed && !this.#hasLength && !chunkedEncoding)
    this.release()
    if (mustReset && socket !== null) resetSocket(socket)
    else this.#response.destroy()
  }

  #clear (): void {
    const { heldBytes } = this
    this.#queue.clear()
    this.#store.noteChange(this, -heldBytes)
  }

  #handleDrain (): void {
    if (!this.#isBlocked) return
    this.#isBlocked = false
    this.#queuedBytes = null
    this.#noteRead()
    this.#pump()
  }

  #noteRead (): void {
    const now = this.#store.now()
    this.#longestIdleMs = Math.max(this.#longestIdleMs, now - this.#lastReadAt)
    this.#lastReadAt = now
  }

  #pump (): void {
    const before = this.heldBytes
    while (!this.#isBlocked && !this.#canEnd) {
      const piece = this.#queue.take(this.#room)
      if (piece === null) break
      if (!this.#response.write(piece)) this.#noteBlocked()
    }
    const isEnd = !this.#isBlocked && this.#canEnd
    if (isEnd) this.#response.end(this.#queue.length === 0 ? undefined : this.#queue.takeAll())
    if (this.heldBytes !== before) this.#store.noteChange(this, this.heldBytes - before)
    if (!isEnd) return
    this.#store.noteEnded(this.#response)
    const noteEnd = this.#noteEnd
    this.#noteEnd = null
    noteEnd?.()
  }

  // True if the rest of the answer fits into the connection.
  get #canEnd (): boolean { return this.#noteEnd !== null && this.#queue.length <= this.#room }

  get #room (): number {
    const { writableHighWaterMark, writableLength } = this.#response
    return Math.max(minPieceBytes, writableHighWaterMark - writableLength)
  }

  #noteBlocked (): void {
    this.#isBlocked = true
    this.#lastReadAt = this.#store.now()
  }
}
