import { Logger } from 'tslog'
import { HybridClock, formatTime } from './hybrid-clock.js'

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

  constructor (box: string, write: (line: string) => void, now: () => number = Date.now) {
    this.#box = box
    this.clock = new HybridClock(now)
    this.#logger = new Logger({ type: 'hidden', hideLogPositionForProduction: true })
    this.#logger.attachTransport(record => write(String((record as Record<string, unknown>)['0'])))
  }

  /** Something that happened as it should. */
  info (event: string, fields: EventFields = {}): void {
    this.#logger.info(this.#format('info', event, fields))
  }

  /** Something that an operator may want to look at. */
  warn (event: string, fields: EventFields = {}): void {
    this.#logger.warn(this.#format('warn', event, fields))
  }

  /** Something that went wrong. */
  error (event: string, fields: EventFields = {}): void {
    this.#logger.error(this.#format('error', event, fields))
  }

  #format (level: string, event: string, fields: EventFields): string {
    const hlc = formatTime(this.clock.read())
    return formatEvent({ hlc, level, box: this.#box, event, ...fields })
  }
}

/** A log that writes to standard output. */
export function openStandardLog (box: string): EventLog {
  return new EventLog(box, line => process.stdout.write(line + '\n'))
}
