/**
 * Output of log lines. Writing never blocks: lines go to a bounded buffer, and are
 * dropped and counted when it is full or the reader has gone. A rate limit suppresses
 * lines of level `info` first, then warnings; suppressed lines are counted too.
 */
import { createWriteStream, fstatSync, writeSync } from 'node:fs'
import type { Writable } from 'node:stream'
import type { LogLevel } from './log-level.js'

/** Size of the buffer that holds lines while the reader stalls, bytes. */
const maxBufferedBytes = 512 * 1024
/** Buffered lines are written once they reach this size, bytes, or after the interval below. */
const minWriteBytes = 4096
const flushIntervalMs = 200
/** Longest time that a program waits for its last lines to be written before it exits, ms. */
const maxFlushMs = 1000
const standardOutput = 1
/** Share of the lines per second that `info` may use. */
const infoShare = 0.6
/** Share that `info` and `warn` may use together; the rest is reserved for errors. */
const warningShare = 0.9

export interface LineSink {
  /** False where the rate limit for this level is reached, and the line must not be written. */
  admit (level: LogLevel): boolean
  write (line: string): void
}

/** Limits the lines per second by level. */
export class LineRateLimiter {
  #perSecond: number
  #second = 0
  #lines = 0
  #suppressed = 0
  #reported = 0

  constructor (perSecond: number) {
    this.#perSecond = perSecond
  }

  /** Number of suppressed lines so far. */
  get suppressed (): number { return this.#suppressed }

  admit (level: LogLevel, nowMs: number): boolean {
    const second = Math.floor(nowMs / 1000)
    if (second !== this.#second) {
      this.#second = second
      this.#lines = 0
    }
    const share = level === 'info' ? infoShare : level === 'warn' ? warningShare : 1
    if (this.#lines < this.#perSecond * share) {
      this.#lines += 1
      return true
    }
    this.#suppressed += 1
    return false
  }

  /** Number of suppressed lines since the last call. */
  takeSuppressed (): number {
    const count = this.#suppressed - this.#reported
    this.#reported = this.#suppressed
    return count
  }
}

/** A non-blocking, rate-limited sink to standard output. */
export class StandardSink implements LineSink {
  #limiter: LineRateLimiter
  #stream: Writable
  /** Lines that are not yet passed to the stream, and their number. */
  #text = ''
  #lines = 0
  #dropped = 0

  constructor (linesPerSecond: number) {
    this.#limiter = new LineRateLimiter(linesPerSecond)
    this.#stream = openStandardOutput()
    this.#handleErrors()
    setInterval(() => this.#writeBuffered(), flushIntervalMs).unref()
    process.once('exit', () => this.#writeLast())
  }

  /** Number of lines lost to a full buffer or a write error. */
  get dropped (): number { return this.#dropped }
  get limiter (): LineRateLimiter { return this.#limiter }

  admit (level: LogLevel): boolean { return this.#limiter.admit(level, performance.now()) }

  write (line: string): void {
    if (this.#text.length + this.#stream.writableLength + line.length > maxBufferedBytes) {
      this.#dropped += 1
      return
    }
    this.#text += `${line}\n`
    this.#lines += 1
    if (this.#text.length >= minWriteBytes) this.#writeBuffered()
  }

  /** Resolves once the buffered lines are written or lost, after `maxFlushMs` at the latest; for use at process exit. */
  async flush (): Promise<void> {
    this.#writeBuffered()
    await new Promise<void>(resolve => {
      setTimeout(resolve, maxFlushMs)
      this.#stream.write('', () => resolve())
    })
  }

  #writeBuffered (): void {
    if (this.#lines === 0) return
    const lines = this.#lines
    this.#stream.write(this.#text, error => { if (error != null) this.#dropped += lines })
    this.#text = ''
    this.#lines = 0
  }

  // What a crash leaves in the buffer; not after lines that the stream still holds, as their order would be wrong.
  #writeLast (): void {
    if (this.#lines === 0 || this.#stream.writableLength > 0) return
    try {
      writeSync(standardOutput, this.#text)
    } catch {
      // The reader has gone or stalls, and the process ends.
    }
  }

  // A log must not end the process: an error may pass, as a full disk does, so the next lines are written again.
  #handleErrors (): void {
    this.#stream.once('error', () => {
      this.#stream = openStandardOutput()
      this.#handleErrors()
    })
  }
}

// On pipes and sockets, only Node's own stream for standard output doesn't block; on files and terminals, only a file stream doesn't.
function openStandardOutput (): Writable {
  const stats = fstatSync(standardOutput)
  if (stats.isFIFO() || stats.isSocket()) return process.stdout
  return createWriteStream('', { fd: standardOutput, autoClose: false })
}
