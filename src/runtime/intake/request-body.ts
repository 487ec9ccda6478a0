/** Reading of request bodies. A body takes the memory of its bytes, however it is cut into chunks. */
import type { IncomingMessage } from 'node:http'
import { blockBytes } from './block-pool.js'
import type { Arrival, ClientMemory, MemoryHold } from './client-memory.js'

/** `no-room`: refused for lack of memory; `aborted`: the sender disconnected before the body was complete. */
export type BodyOutcome =
  | { readonly type: 'whole', readonly body: Buffer, readonly hold: MemoryHold }
  | { readonly type: 'too-large' }
  | { readonly type: 'no-room' }
  | { readonly type: 'aborted' }

/** Size of the first block of a body, bytes: most bodies need no other. */
const firstBlockBytes = 4096
/** How long the rest of a refused body is read, ms. */
const discardMs = 500

/** The part of a body that has arrived. Each chunk is copied, as a chunk of a few bytes would keep the memory of a whole read. */
class BodyBlocks {
  #blocks: Buffer[] = []
  #freeBytes = 0
  #length = 0
  #maxBytes: number
  #memory: ClientMemory
  #arrival: Arrival
  #byteCost: number

  /** `maxBytes`: the size that it never exceeds. */
  constructor (maxBytes: number, memory: ClientMemory, arrival: Arrival, byteCost: number) {
    this.#maxBytes = maxBytes
    this.#memory = memory
    this.#arrival = arrival
    this.#byteCost = byteCost
  }

  /** Adds a chunk, unless it doesn't fit into the limit or the memory of the process. */
  push (chunk: Buffer): 'added' | 'too-large' | 'no-room' {
    if (this.#length + chunk.length > this.#maxBytes) return 'too-large'
    this.#arrival.noteMove()
    for (let start = 0; start < chunk.length;) {
      if (this.#freeBytes === 0 && !this.#addBlock()) return 'no-room'
      const block = this.#blocks[this.#blocks.length - 1]
      const copied = chunk.copy(block, block.length - this.#freeBytes, start)
      this.#freeBytes -= copied
      start += copied
    }
    this.#length += chunk.length
    return 'added'
  }

  /** The body in one piece. */
  join (): Buffer { return Buffer.concat(this.#blocks, this.#length) }

  discard (): void {
    for (const block of this.#blocks) if (block.length === blockBytes) this.#memory.blocks.putBack(block)
    this.#blocks = []
    this.#freeBytes = 0
    this.#arrival.end()
  }

  #addBlock (): boolean {
    const isFirst = this.#blocks.length === 0
    const size = isFirst ? Math.min(this.#maxBytes, firstBlockBytes) : blockBytes
    if (!this.#arrival.resize(this.#arrival.heldBytes + size * this.#byteCost)) return false
    const block = isFirst ? Buffer.allocUnsafeSlow(size) : this.#memory.blocks.take()
    this.#blocks.push(block)
    this.#freeBytes = size
    return true
  }
}

/** Discards the rest of a refused body for a limited time, so that its sender can read the answer, and then closes the connection. */
export function discardBody (request: IncomingMessage): void {
  if (request.complete) return
  request.resume()
  closeLater(request)
}

/** Reads nothing more of a body that was refused for lack of memory; leaves its sender as much time to read the answer. */
export function abandonBody (request: IncomingMessage): void {
  if (request.complete) return
  request.pause()
  closeLater(request)
}

function closeLater (request: IncomingMessage): void {
  const { socket } = request
  // Node destroys a connection after its last answer; what the sender still writes would reset it, and the answer could be lost.
  socket.destroySoon = () => socket.end()
  setTimeout(() => {
    Reflect.deleteProperty(socket, 'destroySoon')
    if (!request.complete || socket.writableEnded) socket.destroy()
  }, discardMs).unref()
}

/**
 * Reads a request's body, on the account of `memory`, in which each byte counts `byteCost` times, as what is made of the
 * body may take more than the body. What follows a refusal is discarded as it arrives.
 */
export function readBody (request: IncomingMessage, maxBytes: number, memory: ClientMemory, byteCost = 1): Promise<BodyOutcome> {
  const declared = request.headers['content-length']
  const declaredBytes = declared === undefined ? maxBytes : Number(declared)
  if (declaredBytes > maxBytes) return Promise.resolve({ type: 'too-large' })
  return new Promise(resolve => {
    let isEnded = false
    const end = (outcome: BodyOutcome): void => {
      if (isEnded) return
      isEnded = true
      blocks.discard()
      resolve(outcome)
    }
    const arrival = memory.open(() => end({ type: 'no-room' }))
    const blocks = new BodyBlocks(declaredBytes, memory, arrival, byteCost)
    request.on('data', (chunk: Buffer) => {
      const result = isEnded ? 'added' : blocks.push(chunk)
      if (result !== 'added') end({ type: result })
    })
    request.on('end', () => {
      if (isEnded) return
      const body = blocks.join()
      end({ type: 'whole', body, hold: arrival.accept(body.length * byteCost) })
    })
    request.on('error', () => {})
    request.on('close', () => { if (!request.complete) end({ type: 'aborted' }) })
  })
}
