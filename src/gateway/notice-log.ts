import type { EndpointId, EndpointView } from '../core/index.js'
import type { EndpointNotices } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'

/** Faulty headers of one endpoint are reported this often at most, ms. */
const faultyEveryMs = 1000
/** Endpoints whose last words are kept, to tell what is new; more than a service has. */
const mostKept = 20_000

/** Logs what endpoints say of themselves on their answers: what is new, and what could not be read. */
export class NoticeLog {
  #log: EventLog
  #metrics: Metrics
  #said = new Map<EndpointId, string>()
  #reportedAt = new Map<EndpointId, number>()

  constructor (log: EventLog, metrics: Metrics) {
    this.#log = log
    this.#metrics = metrics
  }

  /** Takes the notices of one answer. */
  note ({ id, record: { service } }: EndpointView, { limit, isLeaving, restMs, faulty }: EndpointNotices, at: number): void {
    if (restMs !== null) {
      this.#metrics.count('endpoint-rest', { service })
      this.#log.info('endpoint-rest', { endpoint: id, service, restMs: Math.round(restMs) })
    }
    if (limit !== undefined) this.#noteSaid(id, service, limit, isLeaving)
    if (faulty.length === 0 || at - (this.#reportedAt.get(id) ?? -Infinity) < faultyEveryMs) return
    this.#keep(this.#reportedAt, id, at)
    for (const { name, value } of faulty) this.#log.warn('endpoint-header-faulty', { endpoint: id, service, name, value })
  }

  // Most endpoints never say anything: these are not kept.
  #noteSaid (id: EndpointId, service: string, limit: number | null, isLeaving: boolean): void {
    const said = `${limit} ${isLeaving}`
    const isNothing = limit === null && !isLeaving
    const before = this.#said.get(id)
    if (before === said || (before === undefined && isNothing)) return
    if (isNothing) this.#said.delete(id)
    else this.#keep(this.#said, id, said)
    this.#log.info('endpoint-notice', { endpoint: id, service, limit, isLeaving })
  }

  #keep<Value> (kept: Map<EndpointId, Value>, id: EndpointId, value: Value): void {
    if (kept.size >= mostKept) kept.clear()
    kept.set(id, value)
  }
}
