/**
 * Output of log lines. Writing never blocks: lines go to a bounded buffer and are
 * dropped and counted when it is full. A rate limit suppresses lines of level
 * `info` first, then warnings; suppressed lines are counted too.
 */
import sonic from 'sonic-boom'
import type { LogLevel } from './log-level.js'

/** Size of the buffer that holds lines while the reader stalls, bytes. */
const maxBufferedBytes = 512 * 1024
/** Buffered lines are written once they reach this size, bytes, or after the interval below. */
const minWriteBytes = 4096
const flushIntervalMs = 200
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

/** A non-blocking, rate-limited sink to a file descriptor; standard output by default. */
export class StandardSink implements LineSink {
  #stream: InstanceType<typeof sonic.SonicBoom>
  #limiter: LineRateLimiter
  #dropped = 0

  constructor (linesPerSecond: number, descriptor = 1) {
    this.#limiter = new LineRateLimiter(linesPerSecond)
    this.#stream = new sonic.SonicBoom({ fd: descriptor, sync: false, minLength: minWriteBytes, maxLength: maxBufferedBytes, periodicFlush: flushIntervalMs })
    this.#stream.on('drop', () => { this.#dropped += 1 })
    // The reader has closed the descriptor, so the error can't be logged either.
    this.#stream.on('error', () => { this.#dropped += 1 })
  }

  /** Number of lines lost to a full buffer or a write error. */
  get dropped (): number { return this.#dropped }
  get limiter (): LineRateLimiter { return this.#limiter }

  admit (level: LogLevel): boolean { return this.#limiter.admit(level, performance.now()) }

  write (line: string): void { this.#stream.write(`${line}\n`) }

  /** Writes buffered lines synchronously; for use at process exit. */
  flush (): void {
    try {
      this.#stream.flushSync()
    } catch {
      // The descriptor accepts no more data; the process is about to exit.
    }
  }
}
