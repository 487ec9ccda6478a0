import { Logger } from 'tslog'
import { HybridClock, formatTime } from './hybrid-clock.js'
import { StandardSink } from './line-sink.js'
import type { LineSink } from './line-sink.js'
import type { LogLevel } from './log-level.js'

export type EventValue = string | number | boolean | null | undefined

export type EventFields = Readonly<Record<string, EventValue>>

const needsQuotes = /[\s"=\p{Cc}]|^$/u
/** Characters that may break a line, or control a terminal, and that JSON leaves as they are. */
const unescaped = /[\x7f-\x9f\u2028\u2029]/g

/** Formats a value; one with spaces, control characters, quotes or "=", or an empty one, is quoted as JSON so that the line can be parsed. */
export function formatValue (value: EventValue): string {
  if (value === null || value === undefined) return '-'
  const text = String(value)
  return needsQuotes.test(text) ? JSON.stringify(text).replace(unescaped, found => `\\u${found.charCodeAt(0).toString(16).padStart(4, '0')}`) : text
}

/** Formats an event as one line of key=value pairs. */
export function formatEvent (fields: EventFields): string {
  return Object.entries(fields)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ')
}

/**
 * The log of one process: a line of key=value pairs for each event, with a
 * hybrid logical timestamp so that the logs of several processes can be merged.
 */
export class EventLog {
  readonly clock: HybridClock
  #box: string
  #logger: Logger<unknown>
  #admit: (level: LogLevel) => boolean

  constructor (box: string, write: (line: string) => void, now: () => number = Date.now, admit: (level: LogLevel) => boolean = () => true) {
    this.#box = box
    this.#admit = admit
    this.clock = new HybridClock(now)
    this.#logger = new Logger({ type: 'hidden', hideLogPositionForProduction: true })
    this.#logger.attachTransport(record => write(String((record as Record<string, unknown>)['0'])))
  }

  /** Logs normal operation. */
  info (event: string, fields: EventFields = {}): void {
    if (this.#admit('info')) this.#logger.info(this.#format('info', event, fields))
  }

  /** Logs an event that may need an operator's attention. */
  warn (event: string, fields: EventFields = {}): void {
    if (this.#admit('warn')) this.#logger.warn(this.#format('warn', event, fields))
  }

  /** Logs a failure. */
  error (event: string, fields: EventFields = {}): void {
    if (this.#admit('error')) this.#logger.error(this.#format('error', event, fields))
  }

  #format (level: LogLevel, event: string, fields: EventFields): string {
    const hlc = formatTime(this.clock.read())
    return formatEvent({ hlc, level, box: this.#box, event, ...fields })
  }
}

/** A log that writes the lines that `sink` admits. */
export function openRateLimitedLog (box: string, sink: LineSink): EventLog {
  return new EventLog(box, line => sink.write(line), Date.now, level => sink.admit(level))
}

/** Interval at which suppressed and dropped lines are reported, ms. */
const reportIntervalMs = 1000

/** A non-blocking log to standard output, without a rate limit by default; reports once a second how many lines are missing. */
export function openProgramLog (box: string, linesPerSecond = Infinity): { log: EventLog, sink: StandardSink } {
  const sink = new StandardSink(linesPerSecond)
  const log = openRateLimitedLog(box, sink)
  let dropped = 0
  setInterval(() => {
    const overLimit = sink.limiter.takeSuppressed()
    if (overLimit > 0 || sink.dropped > dropped) log.error('lines-left-out', { overCap: overLimit, dropped: sink.dropped - dropped })
    dropped = sink.dropped
  }, reportIntervalMs).unref()
  return { log, sink }
}

/** A log to standard output without a rate limit. */
export function openStandardLog (box: string): EventLog {
  return new EventLog(box, line => process.stdout.write(line + '\n'))
}
