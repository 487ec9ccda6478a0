const lengthBytes = 4
/** Memory of a chunk beyond its bytes: its objects, about. */
const chunkOverheadBytes = 256

/** Splits a byte stream into length-prefixed frames. */
export class FrameSplitter {
  #chunks: Buffer[] = []
  #bufferedBytes = 0
  #maxFrameBytes: number

  /** `next` throws a RangeError for frames of more than `maxFrameBytes`. */
  constructor (maxFrameBytes: number) {
    this.#maxFrameBytes = maxFrameBytes
  }

  /** Adds bytes and returns the complete frames. */
  push (chunk: Buffer): Buffer[] {
    this.add(chunk)
    const frames: Buffer[] = []
    for (let frame = this.next(); frame !== null; frame = this.next()) frames.push(frame)
    return frames
  }

  /** Memory of what is not part of a complete frame yet, bytes. */
  get heldBytes (): number { return this.#bufferedBytes + this.#chunks.length * chunkOverheadBytes }

  add (chunk: Buffer): void {
    this.#chunks.push(chunk)
    this.#bufferedBytes += chunk.length
  }

  /** Removes and returns the next complete frame; null if there is none yet. */
  next (): Buffer | null {
    if (this.#bufferedBytes < lengthBytes) return null
    const length = this.#peekLength()
    if (length > this.#maxFrameBytes) throw new RangeError(`frame of ${length} bytes; at most ${this.#maxFrameBytes} are allowed`)
    return this.#bufferedBytes < lengthBytes + length ? null : this.#takeBytes(lengthBytes + length).subarray(lengthBytes)
  }

  /** Applies from the next call of `next`. */
  setMaxFrameBytes (maxFrameBytes: number): void { this.#maxFrameBytes = maxFrameBytes }

  #peekLength (): number {
    if (this.#chunks[0].length < lengthBytes) this.#mergeChunks()
    return this.#chunks[0].readUInt32LE(0)
  }

  #takeBytes (size: number): Buffer {
    if (this.#chunks[0].length < size) this.#mergeChunks()
    const [first] = this.#chunks
    const taken = first.subarray(0, size)
    if (first.length === size) this.#chunks.shift()
    else this.#chunks[0] = first.subarray(size)
    this.#bufferedBytes -= size
    return taken
  }

  #mergeChunks (): void {
    this.#chunks = [Buffer.concat(this.#chunks)]
  }
}

/** Concatenates `parts` into one frame with its length prefix. */
export function frameBytes (parts: readonly Uint8Array[]): Buffer {
  let size = 0
  for (const part of parts) size += part.length
  const header = Buffer.allocUnsafe(lengthBytes)
  header.writeUInt32LE(size, 0)
  return Buffer.concat([header, ...parts])
}
