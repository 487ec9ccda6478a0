/** Memory of a chunk beyond its bytes: its objects, about. */
const chunkOverheadBytes = 256

/** Chunks up to this size are copied together: a single read can hold thousands. */
const smallChunkBytes = 512
/** Size of the blocks into which they are copied, bytes. */
const blockBytes = 4096

/** Chunks of an answer, in order. */
export class ByteQueue {
  #chunks: Buffer[] = []
  /** The last chunk, if small ones are copied into it, and the bytes of it that are used. */
  #block: Buffer | null = null
  #blockUsed = 0
  /** Index of the first chunk; those before it have been taken. */
  #first = 0
  #length = 0

  /** Number of bytes in the queue. */
  get length (): number { return this.#length }
  /** Memory used, bytes. */
  get heldBytes (): number { return this.#length + (this.#chunks.length - this.#first) * chunkOverheadBytes }

  push (chunk: Buffer): void {
    if (chunk.length === 0) return
    this.#length += chunk.length
    if (chunk.length <= smallChunkBytes) return this.#copy(chunk)
    this.#block = null
    this.#chunks.push(chunk)
  }

  // The last chunk grows within its block, unless it was taken meanwhile.
  #copy (chunk: Buffer): void {
    const last = this.#chunks.length - 1
    if (this.#block !== null && last >= this.#first && this.#blockUsed + chunk.length <= blockBytes) {
      chunk.copy(this.#block, this.#blockUsed)
      const { byteOffset } = this.#chunks[last]
      const start = byteOffset - this.#block.byteOffset
      this.#blockUsed += chunk.length
      this.#chunks[last] = this.#block.subarray(start, this.#blockUsed)
      return
    }
    if (this.#block === null || this.#blockUsed + chunk.length > blockBytes) {
      this.#block = Buffer.allocUnsafeSlow(blockBytes)
      this.#blockUsed = 0
    }
    const start = this.#blockUsed
    chunk.copy(this.#block, start)
    this.#blockUsed += chunk.length
    this.#chunks.push(this.#block.subarray(start, this.#blockUsed))
  }

  /** Takes at most `maxBytes` from the first chunk; null if the queue is empty. */
  take (maxBytes: number): Buffer | null {
    if (this.#length === 0) return null
    const chunk = this.#chunks[this.#first]
    const taken = chunk.length <= maxBytes ? chunk : chunk.subarray(0, maxBytes)
    this.#length -= taken.length
    if (taken !== chunk) this.#chunks[this.#first] = chunk.subarray(maxBytes)
    else this.#removeFirst()
    return taken
  }

  /** Takes all bytes. */
  takeAll (): Buffer {
    const chunks = this.#chunks.slice(this.#first)
    this.clear()
    return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)
  }

  clear (): void {
    this.#chunks = []
    this.#block = null
    this.#first = 0
    this.#length = 0
  }

  // Taken chunks are released at once; their places in the list are removed together, as removing each would copy the list.
  #removeFirst (): void {
    this.#chunks[this.#first] = emptyChunk
    this.#first += 1
    if (this.#first * 2 < this.#chunks.length) return
    this.#chunks.splice(0, this.#first)
    this.#first = 0
  }
}

const emptyChunk = Buffer.alloc(0)
