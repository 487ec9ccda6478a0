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
export interface EndpointDeskHost {
  readonly log: EventLog
  readonly lostMs: number
  now (): number
  /** Sends changed records to every box in touch. */
  spread (records: readonly EndpointRecord[]): void
  /** Takes word that an endpoint has started again: it holds nothing of before. */
  noteNewLife (endpoint: EndpointId): void
  /** Tells the other registries who was heard from. */
  spreadHeard (words: readonly (readonly [EndpointId, number])[]): void
}

/** An endpoint that was known before the start and does not say so again counts as lost after this, ms: two of its heartbeats. */
export const restoredMs = 2500

/**
 * A last word that says no life, so soon after the first word of a new one, is a
 * late one of the life before, ms: callers send it anew after a second, and no
 * endpoint ends as planned within that time.
 */
const lateGoneMs = 1500

/**
 * Who spoke last from an address has it until silent for so long, ms: three heartbeats, or one told by another registry
 * and one more. A late heartbeat of the one before would take its work away until its next word.
 */
const ownerSilentMs = 4000

export class EndpointDesk {
  #host: EndpointDeskHost
  #directory = new EndpointDirectory()
  #whole: Extract<RouteMessage, { type: 'endpoints' }> | null = null
  #listed: readonly EndpointRecord[] | null = null
  #heardAt = new Map<EndpointId, number>()
  #heard = new Map<EndpointId, number>()
  /** When the first word of each new life came. */
  #bornAt = new Map<EndpointId, number>()

  constructor (host: EndpointDeskHost) {
    this.#host = host
  }

  /** All of them; the same list until one changes. */
  get records (): readonly EndpointRecord[] {
    this.#listed ??= this.#directory.records
    return this.#listed
  }

  /** The message that tells all of them. It is the same until a record changes: hundreds of gateways that start together are sent what was encoded once. */
  get whole (): RouteMessage {
    const { records } = this
    if (this.#whole?.records !== records) this.#whole = { type: 'endpoints', records, whole: true }
    return this.#whole
  }

  /** The service of an endpoint that is registered, and neither gone nor lost. */
  findService (id: EndpointId): ServiceName | undefined {
    const record = this.#directory.find(id)
    return record?.stage === 'ready' || record?.stage === 'draining' ? record.service : undefined
  }

  /** Takes what was known before this process started: it counts until endpoints had time to say otherwise. */
  restore (records: readonly EndpointRecord[]): void {
    this.merge(records)
    const heardAt = this.#host.now() - this.#host.lostMs + restoredMs
    for (const { id } of records) this.#heardAt.set(id, heardAt)
  }

  /** Takes an endpoint's own word. */
  note (word: EndpointRecord): void {
    if (this.#isOvertaken(word)) return this.#host.log.info('endpoint-overtaken', { endpoint: word.id, sequence: word.sequence })
    if (word.stage === 'gone' && this.#host.now() - (this.#bornAt.get(word.id) ?? -Infinity) < lateGoneMs) return
    this.#heardAt.set(word.id, this.#host.now())
    this.#heard.set(word.id, word.sequence)
    this.merge([word])
  }

  /** Takes records from another box; only what is news here goes on. */
  merge (records: readonly EndpointRecord[]): void {
    const changed: EndpointRecord[] = []
    for (const record of records) {
      if (!this.#heardAt.has(record.id)) this.#heardAt.set(record.id, this.#host.now())
      const known = this.#directory.find(record.id)
      const news = this.#directory.merge(record)
      if (known !== undefined && news.length > 0 && isOtherLife(record, known)) this.#noteNewLife(record.id)
      changed.push(...news)
    }
    if (changed.length === 0) return
    this.#listed = null
    for (const { id, service, stage, sequence, zone } of changed) this.#host.log.info('endpoint', { endpoint: id, service, stage, sequence, zone })
    this.#host.spread(changed)
  }

  // A known endpoint at whose address another has spoken since, and still does: the word was held back on its way.
  #isOvertaken (word: EndpointRecord): boolean {
    const owner = this.#directory.findAt(word)
    if (word.stage === 'gone' || owner === undefined || owner.id === word.id || this.#directory.find(word.id) === undefined) return false
    if (owner.stage === 'gone' || owner.stage === 'lost') return false
    return this.#host.now() - (this.#heardAt.get(owner.id) ?? -Infinity) < ownerSilentMs
  }

  #noteNewLife (id: EndpointId): void {
    this.#bornAt.set(id, this.#host.now())
    this.#host.noteNewLife(id)
  }

  /** Takes word of who was heard from at another registry. */
  noteHeard (words: readonly (readonly [EndpointId, number])[]): void {
    for (const [id] of words) this.#heardAt.set(id, this.#host.now())
  }

  /** Tells who was heard from since the last call, and gives up those that are silent. */
  tick (): void {
    if (this.#heard.size > 0) this.#host.spreadHeard([...this.#heard])
    this.#heard.clear()
    const now = this.#host.now()
    for (const [id, at] of this.#bornAt) if (now - at >= lateGoneMs) this.#bornAt.delete(id)
    const lost: EndpointRecord[] = []
    for (const [id, at] of this.#heardAt) {
      if (now - at < this.#host.lostMs) continue
      this.#heardAt.delete(id)
      lost.push(...this.#directory.lose(id))
    }
    if (lost.length === 0) return
    this.#listed = null
    for (const { id, service } of lost) this.#host.log.warn('endpoint', { endpoint: id, service, stage: 'lost' })
    this.#host.spread(lost)
  }
}
