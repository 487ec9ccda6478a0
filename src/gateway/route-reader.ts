import type { VersionedText } from '../coordination/index.js'
import { RouteTable } from '../core/index.js'
import type { Dialect } from '../protocol/index.js'
import type { ClientIntake, EventLog } from '../runtime/index.js'

/** Where routes are read, and the memory that limits them. */
export interface RouteReaderHost {
  readonly dialect: Dialect
  readonly log: EventLog
  readonly intake: ClientIntake
}

/** Decodes a routing document; null, with a log line, if it is invalid. */
export function readRoutes ({ version, text }: VersionedText, { dialect, log, intake: { memory } }: RouteReaderHost): RouteTable | null {
  try {
    const table = new RouteTable(dialect.decodeDocument(text))
    const { bodyBytes } = table.document.limits
    if (bodyBytes > memory.largestRequestBytes) log.warn('body-limit-lowered', { version, limit: bodyBytes, effective: memory.largestRequestBytes })
    return table
  } catch (error) {
    log.error('document-not-read', { version, error: (error as Error).message })
    return null
  }
}
