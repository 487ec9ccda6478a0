const lineFeed = 10
const carriageReturn = 13
const maxEventBytes = 4 * 2 ** 20
/** Sizes of the blocks in which an incomplete event is kept, bytes: most events fit into the first. */
const firstBlockBytes = 4096
const blockBytes = 32 * 1024
const doneEvent = Buffer.from('data: [DONE]')
const blankLines = [Buffer.from('\n\n'), Buffer.from('\n\r\n')]

/** Splits a byte stream into server-sent events. Each byte is searched once, however the stream is cut into chunks. */
export class SseSplitter {
  /** Bytes after the last complete event; the last block has free room behind them. */
  #blocks: Buffer[] = []
  #freeBytes = 0
  #heldBytes = 0
  #pending = 0
  /** The last two of these bytes. */
  #last: number | undefined
  #lastButOne: number | undefined

  /** Number of buffered bytes after the last complete event. */
  get pending (): number { return this.#pending }
  /** Memory in which they are kept, bytes; 0 while they need no more than the first block. */
  get heldBytes (): number { return this.#heldBytes }

  /**
   * Adds bytes and returns the complete events, each with its terminating blank
   * line. Throws a RangeError where an incomplete event exceeds 4 MiB.
   */
  push (chunk: Buffer): Buffer[] {
    const events: Buffer[] = []
    let start = 0
    const crossing = this.#findCrossingEnd(chunk)
    const ends = new BlankLines(chunk)
    for (let end = crossing > 0 ? crossing : ends.next(0); end > 0; end = ends.next(start)) {
      events.push(this.#pending === 0 ? chunk.subarray(start, end) : this.#join(chunk.subarray(start, end)))
      this.#clear()
      start = end
    }
    this.#append(chunk.subarray(start))
    if (this.#pending > maxEventBytes) throw new RangeError(`server-sent event exceeds ${maxEventBytes} bytes`)
    return events
  }

  // The index in the chunk after a blank line that begins in the buffered bytes, or -1.
  #findCrossingEnd (chunk: Buffer): number {
    const last = this.#last
    if (last === lineFeed && chunk[0] === lineFeed) return 1
    if (last === lineFeed && chunk[0] === carriageReturn && chunk[1] === lineFeed) return 2
    return last === carriageReturn && this.#lastButOne === lineFeed && chunk[0] === lineFeed ? 1 : -1
  }

  #join (rest: Buffer): Buffer {
    const blocks = this.#blocks.slice(0, -1)
    const last = this.#blocks[this.#blocks.length - 1]
    return Buffer.concat([...blocks, last.subarray(0, last.length - this.#freeBytes), rest])
  }

  // The first block is used again.
  #clear (): void {
    this.#blocks.length = Math.min(1, this.#blocks.length)
    this.#freeBytes = this.#blocks.length * firstBlockBytes
    this.#heldBytes = 0
    this.#pending = 0
    this.#last = this.#lastButOne = undefined
  }

  // Copies the bytes, as a chunk of a few of them would keep the memory of a whole read.
  #append (bytes: Buffer): void {
    for (let start = 0; start < bytes.length;) {
      if (this.#freeBytes === 0) this.#addBlock()
      const block = this.#blocks[this.#blocks.length - 1]
      const copied = bytes.copy(block, block.length - this.#freeBytes, start)
      this.#freeBytes -= copied
      start += copied
    }
    this.#pending += bytes.length
    if (bytes.length > 1) this.#lastButOne = bytes[bytes.length - 2]
    else if (bytes.length === 1) this.#lastButOne = this.#last
    if (bytes.length > 0) this.#last = bytes[bytes.length - 1]
  }

  #addBlock (): void {
    const size = this.#blocks.length === 0 ? firstBlockBytes : blockBytes
    this.#blocks.push(Buffer.allocUnsafeSlow(size))
    this.#freeBytes = size
    if (this.#blocks.length > 1) this.#heldBytes += size
  }
}

/** The blank lines within one chunk, in order. */
class BlankLines {
  #chunk: Buffer
  /** Where each form of a blank line was found last; -1 once there are no more. */
  #found = blankLines.map(() => 0)

  constructor (chunk: Buffer) {
    this.#chunk = chunk
  }

  /** The index after the first blank line that begins at `from` or later, or -1. */
  next (from: number): number {
    let first = -1
    for (const [i, line] of blankLines.entries()) {
      if (this.#found[i] >= 0 && (from === 0 || this.#found[i] < from)) this.#found[i] = this.#chunk.indexOf(line, from)
      const end = this.#found[i] + line.length
      if (this.#found[i] >= 0 && (first < 0 || end < first)) first = end
    }
    return first
  }
}

/** True for the `[DONE]` event that ends a stream of the chat protocol. */
export function isDoneEvent (event: Buffer): boolean {
  return event.length < doneEvent.length + 8 && event.subarray(0, doneEvent.length).equals(doneEvent)
}

/** The event's `data:` lines joined by newlines; null where it has none. */
export function readEventData (event: Buffer): string | null {
  const data: string[] = []
  for (const line of event.toString('utf8').split(/\r?\n/)) {
    if (line.startsWith('data:')) data.push(line.slice(line[5] === ' ' ? 6 : 5))
  }
  return data.length === 0 ? null : data.join('\n')
}

export function formatEventData (data: string): string {
  return `data: ${data}\n\n`
}
