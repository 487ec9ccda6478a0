/**
 * Tells this box's work to a hub, soon after each change and now and then
 * without one, and takes the totals from there. The hub is a registry of the own
 * zone where one can be reached; where it falls silent, another.
 */
import { randomInt } from 'node:crypto'
import { SumReader, brandId, chooseByHash, dropWaiting, noTotals, staleMs, subtractOwn } from '../core/index.js'
import type { BoxId, BoxLoad, EndpointNotice, LoadTotals, ZoneName } from '../core/index.js'
import { decodeTotalsWord, encodeLoadWord, isNewerWord, startLimit } from '../protocol/index.js'
import type { WordNumber } from '../protocol/index.js'
import { DatagramPort, Inbox } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'
import type { ReachedRegistry } from './registry-follower.js'

/** What the reporter needs of its box. */
export interface LoadReporterHost {
  readonly id: BoxId
  readonly zone: ZoneName
  readonly log: EventLog
  /** UDP port of hubs. */
  readonly hubPort: number
  now (): number
  /** Registries that can be reached just now. */
  listHubs (): readonly ReachedRegistry[]
  composeLoad (): BoxLoad
  /** Notices that the hub may not know. */
  listNotices (): readonly EndpointNotice[]
  /** Takes notices that the hub tells. */
  takeNotices (notices: readonly EndpointNotice[], hub: BoxId): void
  /** Another hub is told from now on. */
  noteHub (): void
  /** Takes what all other boxes have; `intervalMs`: how often that is told. */
  takeOthers (others: LoadTotals, intervalMs: number): void
}

/** The hub that this box tells its work. */
interface Hub {
  readonly host: string
  /** When the first word went there. */
  readonly chosenAt: number
  readonly reader: SumReader
  /** Its newest word; undefined before the first. */
  newest: WordNumber | undefined
  heardAt: number
}

type Input =
  | { readonly type: 'datagram', readonly bytes: Buffer, readonly host: string }
  | { readonly type: 'tick' }

/** A change is told after this, ms, so that changes of one moment share a datagram; later where the hub tells more seldom. */
const coalesceMs = 8
/** Part of the hub's interval after which a change is told. */
const coalesceShare = 0.4
/** Without a change a word goes out this often, ms. */
const heartbeatMs = 250
/** A hub that was silent for so long is left for another, ms: two of its beats and a little. */
const hubTimeoutMs = 450
/** It is passed over for so long, ms: its own restart takes about a second. */
const avoidHubMs = 1500
/** After so long without a word of any hub the others' work no longer counts, ms. */
const othersTtlMs = 1500
/** Own words that are kept, to be taken off totals that hold them: those of a second at the fastest pace. */
const maxSentLoads = 128
/** Datagrams that wait to be read; more are dropped, as the network may. */
const maxQueuedDatagrams = 2000

export class LoadReporter {
  #host: LoadReporterHost
  #datagrams: DatagramPort
  #inbox = new Inbox<Input>(maxQueuedDatagrams)
  #hub: Hub | null = null
  #avoidedUntil = new Map<string, number>()
  #start = randomInt(startLimit)
  #number = 0
  #sentLoads = new Map<number, BoxLoad>()
  #intervalMs = 0
  /** What the others have, as last told; null once nothing of it counts. */
  #others: LoadTotals | null = null
  #sentAt = -Infinity
  #heardAt = -Infinity
  #isScheduled = false
  #isClosed = false
  #timer: NodeJS.Timeout | null = null

  constructor (host: LoadReporterHost) {
    this.#host = host
    this.#datagrams = new DatagramPort({
      receive: (bytes, from) => this.#inbox.offer({ type: 'datagram', bytes, host: from }),
      noteFault: error => host.log.warn('load-port-fault', { error: error.message })
    })
    this.#inbox.run(input => this.#handleInput(input))
  }

  /** Begins to tell; hubs answer to whatever port the words come from. */
  async open (host: string): Promise<void> {
    this.#timer = setInterval(() => this.#inbox.post({ type: 'tick' }), heartbeatMs / 2)
    await this.#datagrams.open(host, 0)
  }

  /** Ends the reporter; a second call does nothing. */
  close (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#inbox.close()
    this.#datagrams.close()
  }

  /** Takes word that the work of this box has changed. */
  noteChange (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    setTimeout(() => this.#send(), Math.max(coalesceMs, this.#intervalMs * coalesceShare))
  }

  #handleInput (input: Input): void {
    switch (input.type) {
      case 'datagram': return this.#receiveTotals(input.bytes, input.host)
      case 'tick': return this.#tick()
    }
  }

  #receiveTotals (bytes: Buffer, from: string): void {
    const hub = this.#hub
    if (hub === null || hub.host !== from) return
    const update = decodeTotalsWord(bytes)
    if (update === null || !isNewerWord(update, hub.newest)) return
    const now = this.#host.now()
    hub.newest = { start: update.start, number: update.number }
    hub.heardAt = now
    this.#heardAt = now
    this.#intervalMs = update.intervalMs
    if (update.notices.length > 0) this.#host.takeNotices(update.notices, brandId(hub.host))
    const totals = hub.reader.take(update.news)
    if (totals !== null) this.#setOthers(subtractOwn(totals, this.#sentLoads.get(update.ownNumber) ?? null), update.intervalMs)
  }

  #tick (): void {
    const now = this.#host.now()
    this.#updateHub(now)
    this.#expireOthers(now - this.#heardAt)
    if (now - this.#sentAt >= heartbeatMs) this.#send()
  }

  // Without a word of any hub, what waits by the others counts no more, then nothing of them.
  #expireOthers (silentMs: number): void {
    if (this.#others === null || silentMs <= staleMs) return
    if (silentMs <= othersTtlMs) return this.#setOthers(dropWaiting(this.#others), this.#intervalMs)
    this.#others = null
    this.#host.log.warn('hubs-silent', { hub: this.#hub?.host ?? '' })
    this.#host.takeOthers(noTotals, 0)
  }

  #setOthers (others: LoadTotals, intervalMs: number): void {
    this.#others = others
    this.#host.takeOthers(others, intervalMs)
  }

  // Leaves a hub that is silent, and one of another zone where one of the own zone can be reached again.
  #updateHub (now: number): void {
    const hub = this.#hub
    if (hub !== null && now - Math.max(hub.heardAt, hub.chosenAt) > hubTimeoutMs) this.#avoidedUntil.set(hub.host, now + avoidHubMs)
    const best = this.#findHub(now)
    if (best === hub?.host || best === undefined) return
    this.#host.log.info('hub-chosen', { hub: best, before: hub?.host ?? '' })
    if (hub !== null) this.#sendLoad(hub.host, null)
    this.#host.noteHub()
    this.#hub = { host: best, chosenAt: now, reader: new SumReader(), newest: undefined, heardAt: -Infinity }
    this.#send()
  }

  // The host that all gateways of the zone find, as far as they reach it; undefined where no registry is reached.
  #findHub (now: number): string | undefined {
    const reached = this.#host.listHubs().filter(({ host }) => (this.#avoidedUntil.get(host) ?? 0) <= now)
    const local = reached.filter(({ zone }) => zone === this.#host.zone)
    return chooseByHash('hub', (local.length > 0 ? local : reached).map(({ host }) => host))
  }

  #send (): void {
    this.#isScheduled = false
    if (this.#isClosed || this.#hub === null) return
    this.#sentAt = this.#host.now()
    const load = this.#host.composeLoad()
    this.#sendLoad(this.#hub.host, load)
    this.#rememberLoad(load)
  }

  // `load`: null where this box tells another hub from now on.
  #sendLoad (host: string, load: BoxLoad | null): void {
    this.#number += 1
    const { id, zone, hubPort } = this.#host
    this.#datagrams.send(encodeLoadWord({ box: id, zone, start: this.#start, number: this.#number, load, notices: this.#host.listNotices() }), host, hubPort)
  }

  #rememberLoad (load: BoxLoad): void {
    this.#sentLoads.set(this.#number, load)
    this.#sentLoads.delete(this.#number - maxSentLoads)
  }
}
