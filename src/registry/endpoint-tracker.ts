/**
 * Maintains a registry's endpoint directory. Changes are broadcast at once to all
 * connected boxes; heartbeats that change nothing are forwarded to the other
 * registries periodically, so that all of them detect silent endpoints.
 */
import { EndpointDirectory, VersionCoverage, filterRecords, isOtherIncarnation } from '../core/index.js'
import type { EndpointId, EndpointRecord, ServiceName } from '../core/index.js'
import type { RouteMessage } from '../protocol/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the tracker needs of its box. */
export interface EndpointTrackerHost {
  readonly log: EventLog
  readonly lostMs: number
  /** True if the whole system starts for the first time, so that no endpoint served before. */
  readonly isFirst: boolean
  now (): number
  /** Sends changed records to every connected box. */
  broadcast (records: readonly EndpointRecord[]): void
  /** Called when an endpoint restarts: its cached prompts are lost. */
  noteRestart (endpoint: EndpointId): void
  /** Sends the heartbeats received to the other registries. */
  broadcastHeartbeats (heartbeats: readonly (readonly [EndpointId, number])[]): void
}

/** A restored endpoint that sends no heartbeat counts as lost this long after the start, ms: two heartbeat intervals. */
export const restoredGraceMs = 2500

/**
 * A deregistration this soon after a restart was sent by the previous instance and
 * is ignored, ms: it names no instance, callers retry it after a second, and no
 * endpoint shuts down as planned within that time.
 */
const lateDeregistrationMs = 1500

/**
 * An endpoint counts as heard recently for this long, ms: three heartbeats, or one that another registry forwards plus one more.
 * For so long it owns its address: otherwise a late heartbeat of the previous owner would take its work until its next one.
 */
const recentMs = 4000

export class EndpointTracker {
  #host: EndpointTrackerHost
  #directory = new EndpointDirectory()
  #fullMessage: Extract<RouteMessage, { type: 'endpoints' }> | null = null
  #cachedRecords: readonly EndpointRecord[] | null = null
  #coverage: VersionCoverage
  #lastHeardAt = new Map<EndpointId, number>()
  #unsentHeartbeats = new Map<EndpointId, number>()
  /** When each restarted endpoint first registered again. */
  #restartedAt = new Map<EndpointId, number>()

  constructor (host: EndpointTrackerHost) {
    this.#host = host
    this.#coverage = new VersionCoverage(this.#directory.versions, host.now, host.isFirst)
  }

  /** All records; the same array until one changes. */
  get records (): readonly EndpointRecord[] {
    this.#cachedRecords ??= this.#directory.records
    return this.#cachedRecords
  }

  /** The message with all records. The same object until a record changes, so that it is encoded once for hundreds of gateways that start together. */
  get fullMessage (): RouteMessage {
    const { records } = this
    const { isComplete } = this.#coverage
    if (this.#fullMessage?.records !== records || this.#fullMessage.isComplete !== isComplete) this.#fullMessage = { type: 'endpoints', records, whole: true, versions: this.#directory.versions.listAll(), isComplete }
    return this.#fullMessage
  }

  /** The service of a registered endpoint that is neither gone nor lost. */
  findService (id: EndpointId): ServiceName | undefined {
    const record = this.#directory.find(id)
    return record !== undefined && isLive(record) ? record.service : undefined
  }

  /** Restores the records saved by the previous process; they are valid until endpoints have had time to send heartbeats. */
  restore (records: readonly EndpointRecord[]): void {
    this.merge(records)
    const lastHeardAt = this.#host.now() - this.#host.lostMs + restoredGraceMs
    for (const { id } of records) this.#lastHeardAt.set(id, lastHeardAt)
  }

  /** Applies a registration, heartbeat or deregistration that an endpoint sent itself. */
  register (record: EndpointRecord): void {
    if (this.#isStaleHeartbeat(record)) return this.#host.log.info('endpoint-overtaken', { endpoint: record.id, sequence: record.sequence })
    if (record.stage === 'gone' && this.#host.now() - (this.#restartedAt.get(record.id) ?? -Infinity) < lateDeregistrationMs) return
    this.#lastHeardAt.set(record.id, this.#host.now())
    this.#unsentHeartbeats.set(record.id, record.sequence)
    this.merge([record])
  }

  /** Merges all that another registry has. */
  mergeWhole ({ records, versions = [], isComplete = false }: Extract<RouteMessage, { type: 'endpoints' }>): void {
    this.#coverage.note(versions, isComplete)
    this.merge(records)
  }

  /**
   * Merges records of another box; broadcasts only those that change something here, and those of endpoints that the other box
   * takes for lost although newer heartbeats have arrived.
   */
  merge (records: readonly EndpointRecord[]): void {
    const changed: EndpointRecord[] = []
    const refuted: EndpointRecord[] = []
    for (const record of filterRecords(records, (endpoint, field) => this.#host.log.warn('record-dropped', { endpoint, field }))) {
      if (!this.#lastHeardAt.has(record.id)) this.#lastHeardAt.set(record.id, this.#host.now())
      const known = this.#directory.find(record.id)
      const changes = this.#directory.merge(record)
      if (known !== undefined && changes.length > 0 && isOtherIncarnation(record, known)) this.#noteRestart(record.id)
      if (known !== undefined && record.stage === 'lost') refuted.push(known)
      changed.push(...changes)
    }
    // The record was accepted, or another one has taken over the address since, if it is no longer the known one.
    this.#broadcast([...changed, ...refuted.filter(record => isLive(record) && this.#directory.find(record.id) === record)])
  }

  #broadcast (records: readonly EndpointRecord[]): void {
    if (records.length === 0) return
    this.#cachedRecords = null
    for (const { id, service, stage, sequence, zone } of records) this.#host.log.info('endpoint', { endpoint: id, service, stage, sequence, zone })
    this.#host.broadcast(records)
  }

  // True for a delayed heartbeat of a known endpoint whose address another live endpoint has taken over.
  #isStaleHeartbeat (record: EndpointRecord): boolean {
    const owner = this.#directory.findAt(record)
    if (record.stage === 'gone' || owner === undefined || owner.id === record.id || this.#directory.find(record.id) === undefined) return false
    if (owner.stage === 'gone' || owner.stage === 'lost') return false
    return this.#isHeard(owner.id)
  }

  #noteRestart (id: EndpointId): void {
    this.#restartedAt.set(id, this.#host.now())
    this.#host.noteRestart(id)
  }

  /** Records heartbeats that another registry received. */
  noteHeartbeats (heartbeats: readonly (readonly [EndpointId, number])[]): void {
    for (const [id] of heartbeats) this.#lastHeardAt.set(id, this.#host.now())
  }

  /** Heartbeats for a registry that has just connected, and may wait for them before it counts restored endpoints as lost. */
  listHeard (): readonly (readonly [EndpointId, number])[] {
    return this.#directory.records.filter(record => isLive(record) && this.#isHeard(record.id)).map(({ id, sequence }) => [id, sequence] as const)
  }

  #isHeard (id: EndpointId): boolean { return this.#host.now() - (this.#lastHeardAt.get(id) ?? -Infinity) < recentMs }

  /** Forwards the heartbeats received since the last call, and marks silent endpoints as lost. */
  tick (): void {
    if (this.#unsentHeartbeats.size > 0) this.#host.broadcastHeartbeats([...this.#unsentHeartbeats])
    this.#unsentHeartbeats.clear()
    const now = this.#host.now()
    for (const [id, at] of this.#restartedAt) if (now - at >= lateDeregistrationMs) this.#restartedAt.delete(id)
    const lost: EndpointRecord[] = []
    for (const [id, at] of this.#lastHeardAt) {
      if (now - at < this.#host.lostMs) continue
      this.#lastHeardAt.delete(id)
      lost.push(...this.#directory.markLost(id))
    }
    if (lost.length === 0) return
    this.#cachedRecords = null
    for (const { id, service } of lost) this.#host.log.warn('endpoint', { endpoint: id, service, stage: 'lost' })
    this.#host.broadcast(lost)
  }
}

function isLive ({ stage }: EndpointRecord): boolean { return stage === 'ready' || stage === 'draining' }
