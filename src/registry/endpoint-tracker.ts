/**
 * A registry's directory of endpoints. Words that change it are spread at once
 * to all boxes in touch; heartbeats that change nothing go to the other
 * registries now and then, so that all know who has fallen silent.
 */
import { EndpointDirectory, isOtherLife } from '../core/index.js'
import type { EndpointId, EndpointRecord, ServiceName } from '../core/index.js'
import type { RouteMessage } from '../protocol/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the directory needs of its box. */
export interface EndpointTrackerHost {
  readonly log: EventLog
  readonly lostMs: number
  now (): number
  /** Sends changed records to every box in touch. */
  broadcast (records: readonly EndpointRecord[]): void
  /** Takes word that an endpoint has started again: it holds nothing of before. */
  noteRestart (endpoint: EndpointId): void
  /** Tells the other registries who was heard from. */
  broadcastHeartbeats (words: readonly (readonly [EndpointId, number])[]): void
}

/** An endpoint that was known before the start and does not say so again counts as lost after this, ms: two of its heartbeats. */
export const restoredGraceMs = 2500

/**
 * A last word that says no life, so soon after the first word of a new one, is a
 * late one of the life before, ms: callers send it anew after a second, and no
 * endpoint ends as planned within that time.
 */
const lateDeregistrationMs = 1500

/**
 * Who spoke last from an address has it until silent for so long, ms: three heartbeats, or one told by another registry
 * and one more. A late heartbeat of the one before would take its work away until its next word.
 */
const addressOwnerTimeoutMs = 4000

export class EndpointTracker {
  #host: EndpointTrackerHost
  #directory = new EndpointDirectory()
  #fullMessage: Extract<RouteMessage, { type: 'endpoints' }> | null = null
  #cachedRecords: readonly EndpointRecord[] | null = null
  #lastHeardAt = new Map<EndpointId, number>()
  #unsentHeartbeats = new Map<EndpointId, number>()
  /** When the first word of each new life came. */
  #restartedAt = new Map<EndpointId, number>()

  constructor (host: EndpointTrackerHost) {
    this.#host = host
  }

  /** All of them; the same list until one changes. */
  get records (): readonly EndpointRecord[] {
    this.#cachedRecords ??= this.#directory.records
    return this.#cachedRecords
  }

  /** The message that tells all of them. It is the same until a record changes: hundreds of gateways that start together are sent what was encoded once. */
  get fullMessage (): RouteMessage {
    const { records } = this
    if (this.#fullMessage?.records !== records) this.#fullMessage = { type: 'endpoints', records, whole: true }
    return this.#fullMessage
  }

  /** The service of an endpoint that is registered, and neither gone nor lost. */
  findService (id: EndpointId): ServiceName | undefined {
    const record = this.#directory.find(id)
    return record?.stage === 'ready' || record?.stage === 'draining' ? record.service : undefined
  }

  /** Takes what was known before this process started: it counts until endpoints had time to say otherwise. */
  restore (records: readonly EndpointRecord[]): void {
    this.merge(records)
    const heardAt = this.#host.now() - this.#host.lostMs + restoredGraceMs
    for (const { id } of records) this.#lastHeardAt.set(id, heardAt)
  }

  /** Takes an endpoint's own word. */
  register (word: EndpointRecord): void {
    if (this.#isStaleHeartbeat(word)) return this.#host.log.info('endpoint-overtaken', { endpoint: word.id, sequence: word.sequence })
    if (word.stage === 'gone' && this.#host.now() - (this.#restartedAt.get(word.id) ?? -Infinity) < lateDeregistrationMs) return
    this.#lastHeardAt.set(word.id, this.#host.now())
    this.#unsentHeartbeats.set(word.id, word.sequence)
    this.merge([word])
  }

  /** Takes records from another box; only what is news here goes on. */
  merge (records: readonly EndpointRecord[]): void {
    const changed: EndpointRecord[] = []
    for (const record of records) {
      if (!this.#lastHeardAt.has(record.id)) this.#lastHeardAt.set(record.id, this.#host.now())
      const known = this.#directory.find(record.id)
      const changes = this.#directory.merge(record)
      if (known !== undefined && changes.length > 0 && isOtherLife(record, known)) this.#noteRestart(record.id)
      changed.push(...changes)
    }
    if (changed.length === 0) return
    this.#cachedRecords = null
    for (const { id, service, stage, sequence, zone } of changed) this.#host.log.info('endpoint', { endpoint: id, service, stage, sequence, zone })
    this.#host.broadcast(changed)
  }

  // A known endpoint at whose address another has spoken since, and still does: the word was held back on its way.
  #isStaleHeartbeat (word: EndpointRecord): boolean {
    const owner = this.#directory.findAt(word)
    if (word.stage === 'gone' || owner === undefined || owner.id === word.id || this.#directory.find(word.id) === undefined) return false
    if (owner.stage === 'gone' || owner.stage === 'lost') return false
    return this.#host.now() - (this.#lastHeardAt.get(owner.id) ?? -Infinity) < addressOwnerTimeoutMs
  }

  #noteRestart (id: EndpointId): void {
    this.#restartedAt.set(id, this.#host.now())
    this.#host.noteRestart(id)
  }

  /** Takes word of who was heard from at another registry. */
  noteHeartbeats (words: readonly (readonly [EndpointId, number])[]): void {
    for (const [id] of words) this.#lastHeardAt.set(id, this.#host.now())
  }

  /** Tells who was heard from since the last call, and gives up those that are silent. */
  tick (): void {
    if (this.#unsentHeartbeats.size > 0) this.#host.broadcastHeartbeats([...this.#unsentHeartbeats])
    this.#unsentHeartbeats.clear()
    const now = this.#host.now()
    for (const [id, at] of this.#restartedAt) if (now - at >= lateDeregistrationMs) this.#restartedAt.delete(id)
    const lost: EndpointRecord[] = []
    for (const [id, at] of this.#lastHeardAt) {
      if (now - at < this.#host.lostMs) continue
      this.#lastHeardAt.delete(id)
      lost.push(...this.#directory.lose(id))
    }
    if (lost.length === 0) return
    this.#cachedRecords = null
    for (const { id, service } of lost) this.#host.log.warn('endpoint', { endpoint: id, service, stage: 'lost' })
    this.#host.broadcast(lost)
  }
}
