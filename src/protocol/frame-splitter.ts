const lengthBytes = 4

/** Cuts a stream of bytes into frames that each begin with their length. */
export class FrameSplitter {
  #chunks: Buffer[] = []
  #size = 0
  #largest: number

  /** `largest`: bytes of a frame beyond which `next` throws. */
  constructor (largest: number) {
    this.#largest = largest
  }

  /** Takes in bytes and returns the frames that are whole. */
  push (chunk: Buffer): Buffer[] {
    this.add(chunk)
    const frames: Buffer[] = []
    for (let frame = this.next(); frame !== null; frame = this.next()) frames.push(frame)
    return frames
  }

  /** Takes in bytes. */
  add (chunk: Buffer): void {
    this.#chunks.push(chunk)
    this.#size += chunk.length
  }

  /** The next frame that is whole; null where there is none yet. */
  next (): Buffer | null {
    if (this.#size < lengthBytes) return null
    const length = this.#peekLength()
    if (length > this.#largest) throw new RangeError(`frame of ${length} bytes; at most ${this.#largest} are allowed`)
    return this.#size < lengthBytes + length ? null : this.#take(lengthBytes + length).subarray(lengthBytes)
  }

  /** Allows larger frames from the next one on. */
  widen (largest: number): void { this.#largest = largest }

  #peekLength (): number {
    if (this.#chunks[0].length < lengthBytes) this.#join()
    return this.#chunks[0].readUInt32LE(0)
  }

  #take (size: number): Buffer {
    if (this.#chunks[0].length < size) this.#join()
    const [first] = this.#chunks
    const taken = first.subarray(0, size)
    if (first.length === size) this.#chunks.shift()
    else this.#chunks[0] = first.subarray(size)
    this.#size -= size
    return taken
  }

  #join (): void {
    this.#chunks = [Buffer.concat(this.#chunks)]
  }
}

/** A body with its length before it. */
export function frameBytes (parts: readonly Uint8Array[]): Buffer {
  let size = 0
  for (const part of parts) size += part.length
  const header = Buffer.allocUnsafe(lengthBytes)
  header.writeUInt32LE(size, 0)
  return Buffer.concat([header, ...parts])
}
