/**
 * An entry box: its tasks, put together. Callers come in over HTTP; keepers
 * bring the configuration; other boxes own some shards, this one owns others.
 */
import { Agent } from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Configuration, EntrySettings } from '../config/index.js'
import { Placer, brandId } from '../core/index.js'
import type { BoxId, EngineId, PlacerShard, Shard, ShardAnswer, ShardId, ShardWord, ZoneName } from '../core/index.js'
import { LinkPool, unpackLoad } from '../protocol/index.js'
import type { BoxMessage, BoxStatus, Link } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import { BoxMembers } from './box-members.js'
import { CallerExchanges } from './caller-exchanges.js'
import { CallerServer } from './caller-server.js'
import { ConfigFollower } from './config-follower.js'
import { sendNews } from './config-news.js'
import { ConfigSpread } from './config-spread.js'
import { EngineWatch } from './engine-watch.js'
import { KeeperClient } from './keeper-client.js'
import { Limits } from './limits.js'
import { LoadTeller } from './load-teller.js'
import { OpenLinks } from './open-links.js'
import { describeOwned } from './owner-status.js'
import { ShardDirectory, configureShard, listReporting } from './shard-directory.js'
import { ShardOwner } from './shard-owner.js'

/** What an entry box is given beside its settings. */
export interface EntrySurroundings {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly secret: string
}

/** Loads are told, waiting requests looked at, and configuration asked for this often, ms. */
const loadsEveryMs = 250
const tickEveryMs = 100
const watchEveryMs = 2000
/** A planned stop looks this often whether all is done, ms. */
const stopPollMs = 20
/** Sockets to one engine: far beyond its places. */
const engineSockets = 4096

export class EntryBox {
  readonly id: BoxId
  readonly zone: ZoneName
  readonly settings: EntrySettings
  #around: EntrySurroundings
  #incarnation = Date.now()
  #links: LinkPool<BoxMessage>
  #openLinks = new OpenLinks<BoxMessage>()
  #loadTeller = new LoadTeller(this.#openLinks)
  #keepers: KeeperClient
  #follower: ConfigFollower
  #spread: ConfigSpread
  #members: BoxMembers
  #exchanges: CallerExchanges
  #owner: ShardOwner
  #placer: Placer
  #limits: Limits
  #watch: EngineWatch
  #server: CallerServer
  #agent = new Agent({ keepAlive: true, maxSockets: engineSockets, maxFreeSockets: 256, scheduling: 'lifo' })
  #directory: ShardDirectory
  #timers: NodeJS.Timeout[] = []
  #leaving = false
  #killed = false
  #violations = 0
  port = 0
  controlPort = 0

  constructor (settings: EntrySettings, around: EntrySurroundings) {
    this.id = brandId<BoxId>(settings.id)
    this.zone = brandId<ZoneName>(settings.zone)
    this.settings = settings
    this.#directory = new ShardDirectory({ id: this.id, zone: this.zone }, settings.enginesPerShard)
    this.#around = around
    const now = (): number => performance.now()
    this.#links = new LinkPool({
      id: settings.id,
      secret: around.secret,
      clock: around.log.clock,
      receive: (link, message) => this.#receive(link, message),
      noteOpen: link => this.#noteOpen(link),
      noteClosed: link => this.#openLinks.remove(link),
      noteFault: (fault, peer) => {
        around.metrics.count('link-fault', { fault })
        around.log.warn('link-fault', { fault, peer })
      }
    })
    this.#keepers = new KeeperClient(settings.keepers, this.#links, now)
    this.#follower = new ConfigFollower(settings.cacheFile, configuration => this.#noteConfiguration(configuration))
    this.#spread = new ConfigSpread({
      keepers: settings.keepers.map(({ id }) => id),
      links: this.#openLinks,
      follower: this.#follower,
      composeStatus: () => this.composeStatus(),
      listZonePeers: () => this.#listZonePeers()
    })
    this.#owner = new ShardOwner({
      now,
      random: Math.random,
      answer: (box, shard, answer) => this.#answerShard(box, shard, answer),
      noteViolation: (rule, detail) => this.#noteViolation(rule, detail),
      noteYield: (request, engine, to) => around.log.info('yield', { request, engine, to })
    })
    this.#placer = new Placer({
      box: this.id,
      zone: this.zone,
      now,
      random: Math.random,
      send: (owner, shard, word) => this.#sendShard(owner, shard, word),
      isReachable: owner => owner === this.id || this.#openLinks.find(owner) !== undefined,
      noteViolation: (rule, detail) => this.#noteViolation(rule, detail)
    })
    this.#limits = new Limits(now)
    this.#watch = new EngineWatch({
      agent: this.#agent,
      listEngines: () => listReporting(this.#owner.shards, this.configuration),
      noteReport: (engine, report) => this.#noteEngine(engine.id, shard => this.#owner.noteEngine(shard, { type: 'report', at: now(), engine: engine.id, report })),
      noteEvicted: (engine, prefixes) => this.#noteEngine(engine.id, shard => this.#owner.noteEngine(shard, { type: 'evicted', at: now(), engine: engine.id, prefixes }))
    })
    this.#members = new BoxMembers({
      settings,
      secret: around.secret,
      links: this.#links,
      log: around.log,
      metrics: around.metrics,
      noteChange: (id, isGone) => this.#noteMember(id, isGone)
    })
    this.#exchanges = new CallerExchanges({
      id: this.id,
      zone: this.zone,
      incarnation: this.#incarnation,
      agent: this.#agent,
      placer: this.#placer,
      limits: this.#limits,
      keepers: this.#keepers,
      log: around.log,
      metrics: around.metrics,
      getConfiguration: () => this.configuration
    })
    this.#server = new CallerServer(this.#createCallerHost(now))
  }

  get configuration (): Configuration { return this.#follower.configuration }
  get inFlight (): number { return this.#placer.inFlight + this.#exchanges.services }
  get violations (): number { return this.#violations }
  /** True where a link to another box is open. */
  isLinked (box: BoxId): boolean { return this.#openLinks.find(box) !== undefined }
  get traffic (): { readonly bytesIn: number, readonly bytesOut: number } {
    const { bytesIn, bytesOut } = this.#links.traffic
    return { bytesIn: bytesIn + this.#members.bytesIn, bytesOut: bytesOut + this.#members.bytesOut }
  }

  /** Opens all sockets and begins to serve. */
  async start (): Promise<void> {
    this.#follower.load()
    this.controlPort = await this.#links.listen(this.settings.control.host, this.settings.control.port)
    await this.#members.start(this.#incarnation, this.controlPort)
    this.#updateShards()
    this.port = await this.#server.listen()
    this.#timers = [
      setInterval(() => this.#tellLoads(), loadsEveryMs),
      setInterval(() => this.#placer.tick(), tickEveryMs),
      setInterval(() => this.#spread.ask(), watchEveryMs)
    ]
    this.#around.log.info('entry-started', { zone: this.zone, port: this.port, control: this.controlPort })
  }

  /**
   * A planned stop: readiness goes red, the balancer's lag passes, what is in
   * flight ends, and nothing is cut. Resolves with what was cut at the limit.
   */
  async stop (): Promise<number> {
    this.#leaving = true
    this.#around.log.info('leaving', { inFlight: this.inFlight })
    this.#members.leave()
    this.#updateShards()
    await sleep(this.settings.balancerLagMs)
    this.#server.stopAccepting()
    const until = performance.now() + this.settings.drainMs
    while (this.inFlight > 0 && performance.now() < until) await sleep(stopPollMs)
    const cut = this.inFlight
    this.kill()
    this.#around.log.info('entry-stopped', { cut })
    return cut
  }

  /** Ends at once; what was in flight is cut. */
  kill (): void {
    if (this.#killed) return
    this.#killed = true
    for (const timer of this.#timers) clearInterval(timer)
    this.#server.cut()
    this.#watch.close()
    this.#owner.close()
    this.#keepers.close()
    this.#members.close()
    this.#links.close()
    this.#agent.destroy()
  }

  composeStatus (): BoxStatus {
    return {
      id: this.id,
      zone: this.zone,
      revision: this.#follower.revision,
      ready: this.#isReady,
      leaving: this.#leaving,
      inFlight: this.inFlight,
      ...describeOwned(this.#owner, this.id),
      violations: this.#violations,
      incarnation: String(this.#incarnation),
      sentAt: Date.now()
    }
  }

  get #isReady (): boolean { return !this.#leaving && this.#follower.revision > 0 }

  // Callers.

  #createCallerHost (now: () => number): ConstructorParameters<typeof CallerServer>[0] {
    const box = this
    return {
      settings: this.settings,
      get configuration () { return box.configuration },
      get isReady () { return box.#isReady },
      get isLeaving () { return box.#leaving },
      now,
      nextRequestId: () => this.#exchanges.nextRequestId(),
      startChat: (order, response) => this.#exchanges.startChat(order, response),
      startService: (order, response) => this.#exchanges.startService(order, response),
      noteRefused: (requestId, fault) => this.#exchanges.noteRefused(requestId, fault)
    }
  }

  // Links and messages.

  #noteOpen (link: Link<BoxMessage>): void {
    this.#openLinks.add(link)
    if (this.#isKeeper(link.peer)) this.#spread.watch(link, true)
    else this.#placer.reopen(brandId<BoxId>(link.peer))
  }

  #isKeeper (name: string): boolean {
    return this.settings.keepers.some(keeper => keeper.id === name)
  }

  #receive (link: Link<BoxMessage>, message: BoxMessage): void {
    const from = brandId<BoxId>(link.peer)
    switch (message.type) {
      case 'reply': return this.#keepers.receive(from, message.call, message.body)
      case 'revisions':
        if (!this.#follower.takeRevisions(message.revisions)) this.#spread.watch(link, false)
        return
      case 'whole': return this.#follower.takeWhole(message.document, message.revision)
      case 'ask-config': return sendNews(link, this.#follower, message.revision)
      case 'shard-word': return this.#takeWord(link, message.shard, message.word)
      case 'shard-answer': return this.#placer.receive(message.shard, message.answer)
      case 'not-owner': return this.#placer.noteNotOwner(message.shard, message.request)
      case 'loads':
        this.#placer.noteLoads(from, message.loads.map(unpackLoad))
        if (message.demands !== null) this.#limits.note(from, message.demands)
        return
      case 'keeper-hello': return
      default: this.#noteViolation('known-messages', message.type)
    }
  }

  // Configuration.

  #noteConfiguration (configuration: Configuration): void {
    this.#around.log.info('configuration', { revision: configuration.revision })
    this.#around.metrics.gauge('revision', configuration.revision)
    this.#updateShards()
    this.#spread.tellRevision()
  }

  // Members and shards.

  #noteMember (id: BoxId, isGone: boolean): void {
    if (isGone) this.#owner.loseBox(id)
    this.#updateShards()
  }

  #listZonePeers (): ReturnType<BoxMembers['listZonePeers']> { return this.#members.listZonePeers(this.#exchanges.requests) }

  #updateShards (): void {
    if (!this.#members.isStarted) return
    this.#directory.update(this.configuration, this.#members.listBoxes())
    this.#limits.setSharers(this.#members.listSharers())
    const { own, used } = this.#directory
    this.#owner.assign(own, shard => configureShard(shard, this.configuration))
    this.#dialOwners(used)
    this.#placer.setShards(used)
    for (const shard of own) this.#drainConfigured(shard)
  }

  #drainConfigured (shard: Shard): void {
    for (const id of shard.engines) {
      this.#owner.drain(id, this.configuration.engines.get(id)?.leaving === true)
    }
  }

  #dialOwners (shards: readonly PlacerShard[]): void {
    const wanted = new Set<BoxId>()
    for (const { owner } of shards) if (owner !== undefined) wanted.add(owner)
    for (const peer of this.#listZonePeers()) wanted.add(brandId<BoxId>(peer.id))
    this.#members.dial(wanted)
  }

  #sendShard (owner: BoxId, shard: ShardId, word: ShardWord): boolean {
    if (owner === this.id) return this.#owner.take(shard, word)
    return this.#openLinks.find(owner)?.send({ type: 'shard-word', shard, word }) === true
  }

  #takeWord (link: Link<BoxMessage>, shard: ShardId, word: ShardWord): void {
    if (this.#owner.take(shard, word) || word.type !== 'submit') return
    const { request, attempt } = word.submission
    link.send({ type: 'not-owner', shard, request, attempt })
  }

  #answerShard (box: BoxId, shard: ShardId, answer: ShardAnswer): void {
    if (box === this.id) return this.#placer.receive(shard, answer)
    this.#openLinks.find(box)?.send({ type: 'shard-answer', shard, answer })
  }

  #tellLoads (): void {
    const { loads } = this.#owner
    this.#placer.noteLoads(this.id, loads)
    const peers = this.#openLinks.peers.filter(peer => !this.#isKeeper(peer) && !peer.startsWith('operator'))
    this.#loadTeller.tell(peers, loads, this.#limits.demands)
  }

  // Engines.

  #noteEngine (engine: EngineId, note: (shard: ShardId) => void): void {
    const shard = this.#directory.findShard(engine)
    if (shard !== undefined) note(shard)
  }

  #noteViolation (rule: string, detail: string): void {
    this.#violations += 1
    this.#around.metrics.count('violation', { rule })
    this.#around.log.error('violation', { rule, detail })
  }
}
