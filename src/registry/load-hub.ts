/**
 * A hub of loads: gateways tell it their work by datagrams, it tells the other
 * hubs the sum of that, and its gateways the totals of all. Every registry is
 * ready to be one; gateways choose one of their own zone, so that little crosses
 * between zones. The work of a hub grows with its gateways, a gateway's doesn't.
 */
import { randomInt } from 'node:crypto'
import { LoadBook, NoticeBook, NoticeTeller, PromptBook, PromptRelay, SumTeller } from '../core/index.js'
import type { BoxId, EndpointId, EndpointNotice, EndpointRecord, LoadTotals, ReadPrompt, ServiceName } from '../core/index.js'
import { decodeHubWord, decodeLoadWord, encodeHubWord, encodeNews, encodeNotices, encodeTotalsWord, isNewerWord, startLimit } from '../protocol/index.js'
import type { NoticeStatus, WordNumber } from '../protocol/index.js'
import { DatagramPort, Inbox } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the hub needs of its box. */
export interface LoadHubHost {
  readonly id: BoxId
  readonly log: EventLog
  now (): number
  /** Hosts of the other registries. */
  listOthers (): readonly string[]
  /** The service of an endpoint that is registered; undefined for another. */
  findService (endpoint: EndpointId): ServiceName | undefined
}

/** A gateway that tells this hub its work: its newest word, and where it came from. */
interface Teller extends WordNumber {
  readonly host: string
  readonly port: number
}

/** Another hub's newest word, and where it came from. */
interface OtherHub extends WordNumber {
  readonly host: string
}

type Input =
  | { readonly type: 'datagram', readonly bytes: Buffer, readonly host: string, readonly port: number }
  | { readonly type: 'tick' }
  | { readonly type: 'tell' }

/** Totals are told no more often than this, ms: below what an engine reads a prompt in. */
const leastIntervalMs = 10
/** Part of a core's time, in ms for each gateway and interval, that telling may take: about 1,000 datagrams a second in all. */
const intervalPerGatewayMs = 1
/**
 * The same for each endpoint in the totals, all of which every gateway decodes:
 * some 50 ms at the 67 endpoints of the grown sites, in place of 15.
 */
const intervalPerEndpointMs = 0.8
/** Totals older than this are worth little, ms. */
const mostIntervalMs = 300
/** Without a change words go out this often, ms: they are also the sign that the hub lives, for which a gateway waits some four of them. */
const beatMs = 100
/** The same between hubs, ms: three fit into the time after which what waits no longer counts. */
const hubBeatMs = 180
/** All hubs are told the whole sum this often, and gateways the speeds of engines, ms: hubs without gateways too, as one of them may be chosen at any time. */
const wholeMs = 500
/** Datagrams that wait to be read; more are dropped, as the network may. */
const mostWaiting = 5000

export class LoadHub {
  #host: LoadHubHost
  #datagrams: DatagramPort
  #inbox = new Inbox<Input>(mostWaiting)
  #book = new LoadBook()
  /** Prompts for the other hubs, of the own gateways, and for the own gateways, of all. */
  #promptsToHubs = new PromptRelay()
  #promptsToGateways = new PromptRelay()
  /** What engines hold, as all gateways told it. */
  readonly prompts = new PromptBook()
  /** What endpoints say of themselves, as all gateways told it. */
  readonly notices = new NoticeBook()
  #noticesToHubs = new NoticeTeller(this.notices)
  #noticesToGateways = new NoticeTeller(this.notices)
  #tellers = new Map<BoxId, Teller>()
  #others = new Map<BoxId, OtherHub>()
  /** On which all hubs listen. */
  #port = 0
  #allToldAt = -Infinity
  #gapsToldAt = -Infinity
  #start = randomInt(startLimit)
  #number = 0
  /** When it was last looked at what is to be told. */
  #lookedAt = -Infinity
  #toGateways = new LastWord(beatMs)
  #toHubs = new LastWord(hubBeatMs)
  #news = new SumTeller()
  #endpointsTold = 0
  #isScheduled = false
  /** True where no gateway tells this hub its work, and the others know. */
  #isIdle = true
  #closed = false
  #timer: NodeJS.Timeout | null = null

  constructor (host: LoadHubHost) {
    this.#host = host
    this.#datagrams = new DatagramPort({
      receive: (bytes, from, port) => this.#inbox.offer({ type: 'datagram', bytes, host: from, port }),
      noteFault: error => host.log.warn('load-port-fault', { error: error.message })
    })
    this.#inbox.run(input => this.#take(input))
  }

  /** Begins to listen; resolves with the port. */
  listen (host: string, port: number): Promise<number> {
    this.#timer = setInterval(() => this.#inbox.post({ type: 'tick' }), beatMs / 2)
    this.#port = port
    return this.#datagrams.open(host, port)
  }

  /** The work of all boxes, as it stands here. */
  sumLoads (): LoadTotals {
    const now = this.#host.now()
    return this.#book.sumAll(this.#book.sumOwn(now), now)
  }

  /** What endpoints say of themselves, for operators. */
  listNotices (): NoticeStatus[] {
    const now = this.#host.now()
    const backedOff = new Map(this.sumLoads().loads.filter(load => load.backedOff > 0).map(load => [load.endpoint, load.backedOff]))
    const known = new Map(this.notices.known.map(one => [one.notice.endpoint, one]))
    return [...new Set([...known.keys(), ...backedOff.keys()])].map(endpoint => {
      const { notice, at, from } = known.get(endpoint) ?? { notice: null, at: null, from: null }
      const ageMs = at === null ? null : Math.round(now - at)
      return { endpoint, service: this.#host.findService(endpoint) ?? '', limit: notice?.perSecond ?? null, isLeaving: notice?.isLeaving ?? false, ageMs, from, backedOff: backedOff.get(endpoint) ?? 0 }
    })
  }

  /** Ends the hub; a second call does nothing. */
  close (): void {
    if (this.#closed) return
    this.#closed = true
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#inbox.close()
    this.#datagrams.close()
  }

  get #intervalMs (): number {
    const wantedMs = Math.max(this.#tellers.size * intervalPerGatewayMs, this.#endpointsTold * intervalPerEndpointMs)
    return Math.min(mostIntervalMs, Math.max(leastIntervalMs, wantedMs))
  }

  #take (input: Input): void {
    switch (input.type) {
      case 'datagram': return this.#receive(input.bytes, input.host, input.port)
      case 'tick': return this.#tick()
      case 'tell': return this.#tell()
    }
  }

  #receive (bytes: Buffer, host: string, port: number): void {
    const word = decodeLoadWord(bytes)
    if (word === null) return this.#receiveSum(bytes, host)
    const { box, zone, start, number, load } = word
    if (!isNewerWord(word, this.#tellers.get(box))) return
    this.takeNotices(word.notices, box)
    if (load === null) return this.#release(box)
    // Who is new knows no engine's speed.
    if (!this.#tellers.has(box)) this.#gapsToldAt = -Infinity
    this.#tellers.set(box, { host, port, start, number })
    this.#isIdle = false
    const now = this.#host.now()
    this.#book.note(box, zone, load, now)
    this.#promptsToHubs.take(load.prompts, now)
    this.#takePrompts(load.prompts, now)
    this.#schedule()
  }

  // Another hub tells the box's work from now on: here it would count twice.
  #release (box: BoxId): void {
    if (!this.#tellers.delete(box)) return
    this.#book.forget(box)
    this.#host.log.info('gateway-moved', { gateway: box })
    this.#schedule()
  }

  #receiveSum (bytes: Buffer, host: string): void {
    const word = decodeHubWord(bytes)
    if (word === null || !isNewerWord(word, this.#others.get(word.hub))) return
    const { hub, start, number, news } = word
    // Who is new knows nothing of the words before.
    if (this.#others.get(hub)?.start !== start) this.#allToldAt = -Infinity
    this.#others.set(hub, { start, number, host })
    const now = this.#host.now()
    this.#book.noteSum(hub, news, now)
    this.#takePrompts(news.prompts, now)
    this.takeNotices(word.notices, hub)
    if (this.#tellers.size > 0) this.#schedule()
  }

  /** Takes what endpoints say of themselves, as another box knows it. */
  takeNotices (notices: readonly EndpointNotice[], from: BoxId): void {
    const now = this.#host.now()
    for (const notice of this.notices.merge(notices.filter(({ endpoint }) => this.#host.findService(endpoint) !== undefined), now, from)) {
      this.#noticesToHubs.note(notice, now)
      this.#noticesToGateways.note(notice, now)
      this.#schedule()
    }
  }

  /** Forgets what endpoints said that are gone. */
  noteRecords (records: readonly EndpointRecord[]): void {
    for (const { id, stage } of records) if (stage === 'gone') this.notices.forget(id)
  }

  #takePrompts (prompts: readonly ReadPrompt[], at: number): void {
    this.prompts.note(this.#promptsToGateways.take(prompts, at))
  }

  #tick (): void {
    const now = this.#host.now()
    for (const box of this.#book.forgetSilent(now)) {
      this.#others.delete(box)
      if (this.#tellers.delete(box)) this.#host.log.warn('gateway-silent', { gateway: box })
    }
    if (this.#toGateways.isDue(now) || this.#toHubs.isDue(now)) this.#tell()
  }

  // Changes of one interval share a datagram.
  #schedule (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    const waitMs = Math.max(0, this.#lookedAt + this.#intervalMs - this.#host.now())
    setTimeout(() => this.#inbox.post({ type: 'tell' }), waitMs)
  }

  #tell (): void {
    this.#isScheduled = false
    if (this.#closed || this.#isIdle) return
    // Without gateways of its own the hub says so once.
    this.#isIdle = this.#tellers.size === 0
    const now = this.#host.now()
    this.#lookedAt = now
    const own = this.#book.sumOwn(now)
    this.#tellHubs({ ...own, prompts: this.#promptsToHubs.draw() }, now)
    const sum = this.#book.sumAll(own, now)
    this.#endpointsTold = sum.loads.length
    this.#tellGateways({ ...sum, prompts: this.#promptsToGateways.draw() }, now)
  }

  #tellGateways (sum: LoadTotals, now: number): void {
    const tellsGaps = now - this.#gapsToldAt >= wholeMs
    const news = encodeNews({ ...sum, isWhole: true, gone: [], gaps: tellsGaps ? sum.gaps : null })
    const notices = this.#noticesToGateways.draw(now)
    if (!this.#toGateways.take(news, now, tellsGaps || sum.prompts.length > 0 || notices.length > 0)) return
    if (tellsGaps) this.#gapsToldAt = now
    const told = encodeNotices(notices)
    const word = { start: this.#start, number: this.#nextNumber(), intervalMs: this.#intervalMs }
    for (const { host, port, number } of this.#tellers.values()) {
      this.#datagrams.send(encodeTotalsWord({ ...word, ownNumber: number }, news, told), host, port)
    }
  }

  // Hubs that have gateways are told at once, the others now and then.
  #tellHubs (own: LoadTotals, now: number): void {
    const tellsAll = now - this.#allToldAt >= wholeMs
    const notices = this.#noticesToHubs.draw(now)
    if (!this.#toHubs.take(encodeNews({ ...own, isWhole: true, gone: [] }), now, own.prompts.length > 0 || notices.length > 0) && !tellsAll) return
    if (tellsAll) this.#allToldAt = now
    const hosts = tellsAll ? this.#host.listOthers() : [...this.#others.values()].map(other => other.host)
    if (hosts.length === 0) return
    const bytes = encodeHubWord({ hub: this.#host.id, start: this.#start, number: this.#nextNumber(), news: this.#news.compose(own, tellsAll), notices })
    for (const host of hosts) this.#datagrams.send(bytes, host, this.#port)
  }

  #nextNumber (): number {
    this.#number += 1
    return this.#number
  }
}

/** What was last told to some, so that it is told again only once it has changed, or as a sign of life. */
class LastWord {
  #beatMs: number
  #bytes: Buffer | null = null
  #at = -Infinity

  /** `beatMs`: how often it is told at least. */
  constructor (beatMs: number) {
    this.#beatMs = beatMs
  }

  isDue (at: number): boolean { return at - this.#at >= this.#beatMs }

  /** True where these bytes are to be told now; `hasNews`: even if they are the same. */
  take (bytes: Buffer, at: number, hasNews: boolean): boolean {
    if (!hasNews && !this.isDue(at) && this.#bytes?.equals(bytes) === true) return false
    this.#bytes = bytes
    this.#at = at
    return true
  }
}
