/**
 * Where lines of log go. Writing never blocks: lines stand in a buffer with a
 * bound, and those that find it full are dropped and counted. A cap on lines a
 * second leaves out ordinary successes first; what was left out is told.
 */
import sonic from 'sonic-boom'
import type { LogLevel } from './log-level.js'

/** Bytes that may wait for a reader that has stalled. */
const mostWaiting = 512 * 1024
/** Lines are written together once there are so many bytes of them, or after the pause below. */
const leastWrite = 4096
const flushMs = 200
/** Part of the lines of a second that ordinary events may take. */
const ordinaryShare = 0.6
/** Part that ordinary events and warnings may take; the rest is for errors. */
const warningShare = 0.9

/** Takes lines; says of each whether there is room for it. */
export interface LineSink {
  /** False where a line of this level is over the cap now, and is to be left out. */
  admit (level: LogLevel): boolean
  write (line: string): void
}

/** Counts lines a second; pure but for the clock that it is given. */
export class LineCap {
  #perSecond: number
  #second = 0
  #lines = 0
  #leftOut = 0
  #told = 0

  constructor (perSecond: number) {
    this.#perSecond = perSecond
  }

  /** Lines that were left out so far. */
  get leftOut (): number { return this.#leftOut }

  admit (level: LogLevel, nowMs: number): boolean {
    const second = Math.floor(nowMs / 1000)
    if (second !== this.#second) {
      this.#second = second
      this.#lines = 0
    }
    const share = level === 'info' ? ordinaryShare : level === 'warn' ? warningShare : 1
    if (this.#lines < this.#perSecond * share) {
      this.#lines += 1
      return true
    }
    this.#leftOut += 1
    return false
  }

  /** Lines left out since the last call. */
  takeLeftOut (): number {
    const count = this.#leftOut - this.#told
    this.#told = this.#leftOut
    return count
  }
}

/** A sink to standard output, capped and never blocking. */
export class StandardSink implements LineSink {
  #boom: InstanceType<typeof sonic.SonicBoom>
  #cap: LineCap
  #dropped = 0

  constructor (linesPerSecond: number, descriptor = 1) {
    this.#cap = new LineCap(linesPerSecond)
    this.#boom = new sonic.SonicBoom({ fd: descriptor, sync: false, minLength: leastWrite, maxLength: mostWaiting, periodicFlush: flushMs })
    this.#boom.on('drop', () => { this.#dropped += 1 })
    // Nobody reads any more: there is nowhere to say so.
    this.#boom.on('error', () => { this.#dropped += 1 })
  }

  /** Lines that a full buffer swallowed. */
  get dropped (): number { return this.#dropped }
  get cap (): LineCap { return this.#cap }

  admit (level: LogLevel): boolean { return this.#cap.admit(level, performance.now()) }

  write (line: string): void { this.#boom.write(`${line}\n`) }

  /** Writes what waits; for the end of a process. */
  flush (): void {
    try {
      this.#boom.flushSync()
    } catch {
      // The descriptor takes no more; the process is ending.
    }
  }
}
