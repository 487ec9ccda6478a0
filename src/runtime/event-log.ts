import { Logger } from 'tslog'
import { HybridClock, formatTime } from './hybrid-clock.js'
import { StandardSink } from './line-sink.js'
import type { LineSink } from './line-sink.js'
import type { LogLevel } from './log-level.js'

/** A value of an event's line. */
export type EventValue = string | number | boolean | null | undefined

/** The keys and values of one event. */
export type EventFields = Readonly<Record<string, EventValue>>

const quoted = /[\s"=]|^$/

/** Writes one value so that the line can be parsed again. */
export function formatValue (value: EventValue): string {
  if (value === null || value === undefined) return '-'
  const text = String(value)
  return quoted.test(text) ? JSON.stringify(text) : text
}

/** Writes an event as one line of key=value pairs. */
export function formatEvent (fields: EventFields): string {
  return Object.entries(fields)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ')
}

/**
 * The log of one process: a line of key=value pairs for each event, stamped
 * with a hybrid logical clock so that the logs of all processes merge.
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

  /** Something that happened as it should. */
  info (event: string, fields: EventFields = {}): void {
    if (this.#admit('info')) this.#logger.info(this.#format('info', event, fields))
  }

  /** Something that an operator may want to look at. */
  warn (event: string, fields: EventFields = {}): void {
    if (this.#admit('warn')) this.#logger.warn(this.#format('warn', event, fields))
  }

  /** Something that went wrong. */
  error (event: string, fields: EventFields = {}): void {
    if (this.#admit('error')) this.#logger.error(this.#format('error', event, fields))
  }

  #format (level: LogLevel, event: string, fields: EventFields): string {
    const hlc = formatTime(this.clock.read())
    return formatEvent({ hlc, level, box: this.#box, event, ...fields })
  }
}

/** A log that writes to a capped sink. */
export function openCappedLog (box: string, sink: LineSink): EventLog {
  return new EventLog(box, line => sink.write(line), Date.now, level => sink.admit(level))
}

/** How often it is told what was left out of the log, ms. */
const tellLeftOutMs = 1000

/** A log to standard output that never blocks; tells each second what it left out. */
export function openProgramLog (box: string, linesPerSecond: number): { log: EventLog, sink: StandardSink } {
  const sink = new StandardSink(linesPerSecond)
  const log = openCappedLog(box, sink)
  let dropped = 0
  setInterval(() => {
    const leftOut = sink.cap.takeLeftOut()
    if (leftOut > 0 || sink.dropped > dropped) log.error('lines-left-out', { overCap: leftOut, dropped: sink.dropped - dropped })
    dropped = sink.dropped
  }, tellLeftOutMs).unref()
  return { log, sink }
}

/** A log that writes to standard output. */
export function openStandardLog (box: string): EventLog {
  return new EventLog(box, line => process.stdout.write(line + '\n'))
}
