/**
 * An entry box: connects its tasks. Callers send requests over HTTP, keepers
 * supply the configuration, and this box runs the schedulers of the shards that
 * it owns while it submits requests to shards of other boxes too.
 */
import { Agent } from 'node:http'
import { performance } from 'node:perf_hooks'
import type { Configuration, EntrySettings } from '../config/index.js'
import { Placer, PlannedStop, brandId } from '../core/index.js'
import type { BoxId, EngineId, PlacerShard, Shard, ShardReply, ShardId, ShardMessage, ZoneName } from '../core/index.js'
import { LinkPool, unpackLoad } from '../protocol/index.js'
import type { BoxMessage, BoxStatus, Link } from '../protocol/index.js'
import type { ClientIntake } from '../runtime/index.js'
import { drainBox } from './box-drain.js'
import { BoxMembers } from './box-members.js'
import { CallerExchanges } from './caller-exchanges.js'
import { CallerServer } from './caller-server.js'
import { ConfigFollower } from './config-follower.js'
import { sendConfigUpdate } from './config-update.js'
import { ConfigSync } from './config-sync.js'
import { createIntake } from './entry-dependencies.js'
import type { EntryDependencies } from './entry-dependencies.js'
import { EnginePoller } from './engine-poller.js'
import { KeeperClient } from './keeper-client.js'
import { Limits } from './limits.js'
import { ShardLoadReporter } from './shard-load-reporter.js'
import { OpenLinks } from './open-links.js'
import { describeOwnedShards } from './owner-status.js'
import { ShardDirectory, configureShard, listReportingEngines } from './shard-directory.js'
import { ShardOwner } from './shard-owner.js'

/** What an entry box depends on besides its settings. */
const loadReportIntervalMs = 250
const placerTickIntervalMs = 100
const configPollIntervalMs = 2000
/** Sockets per engine; far above the number of concurrent requests that an engine serves. */
const maxEngineSockets = 4096

export class EntryBox {
  readonly id: BoxId
  readonly zone: ZoneName
  readonly settings: EntrySettings
  #dependencies: EntryDependencies & { readonly intake: ClientIntake }
  #incarnation = Date.now()
  #links: LinkPool<BoxMessage>
  #openLinks = new OpenLinks<BoxMessage>()
  #loadReporter = new ShardLoadReporter(this.#openLinks)
  #keepers: KeeperClient
  #follower: ConfigFollower
  #configSync: ConfigSync
  #members: BoxMembers
  #exchanges: CallerExchanges
  #owner: ShardOwner
  #placer: Placer
  #limits: Limits
  #enginePoller: EnginePoller
  #server: CallerServer
  #agent = new Agent({ keepAlive: true, maxSockets: maxEngineSockets, maxFreeSockets: 256, scheduling: 'lifo' })
  #directory: ShardDirectory
  #timers: NodeJS.Timeout[] = []
  #plannedStop = new PlannedStop()
  #isKilled = false
  #violations = 0
  port = 0
  controlPort = 0

  constructor (settings: EntrySettings, dependencies: EntryDependencies) {
    this.id = brandId<BoxId>(settings.id)
    this.zone = brandId<ZoneName>(settings.zone)
    this.settings = settings
    this.#directory = new ShardDirectory({ id: this.id, zone: this.zone }, settings.enginesPerShard)
    const intake = dependencies.intake ?? createIntake(settings, dependencies)
    this.#dependencies = { ...dependencies, intake }
    const now = (): number => performance.now()
    this.#links = new LinkPool({
      id: settings.id,
      secret: dependencies.secret,
      clock: dependencies.log.clock,
      memory: intake.memory,
      receive: (link, message) => this.#receive(link, message),
      noteOpen: link => this.#noteOpen(link),
      noteClosed: link => this.#openLinks.remove(link),
      noteFault: (fault, peer) => {
        dependencies.metrics.count('link-fault', { fault })
        dependencies.log.warn('link-fault', { fault, peer })
      }
    })
    this.#keepers = new KeeperClient(settings.keepers, this.#links, now)
    this.#follower = new ConfigFollower(settings.cacheFile, configuration => this.#noteConfiguration(configuration))
    this.#configSync = new ConfigSync({
      keepers: settings.keepers.map(({ id }) => id),
      links: this.#openLinks,
      follower: this.#follower,
      composeStatus: () => this.composeStatus(),
      listZonePeers: () => this.#listZonePeers()
    })
    this.#owner = new ShardOwner({
      now,
      random: Math.random,
      reply: (box, shard, reply) => this.#sendShardReply(box, shard, reply),
      noteViolation: (rule, detail) => this.#noteViolation(rule, detail),
      noteYield: (request, engine, to) => dependencies.log.info('yield', { request, engine, to })
    })
    this.#placer = new Placer({
      box: this.id,
      zone: this.zone,
      now,
      random: Math.random,
      send: (owner, shard, message) => this.#sendShardMessage(owner, shard, message),
      isReachable: owner => owner === this.id || this.#openLinks.find(owner) !== undefined,
      noteViolation: (rule, detail) => this.#noteViolation(rule, detail)
    })
    this.#limits = new Limits(now)
    this.#enginePoller = new EnginePoller({
      agent: this.#agent,
      listEngines: () => listReportingEngines(this.#owner.shards, this.configuration),
      noteReport: (engine, report) => this.#notifyShardOf(engine.id, shard => this.#owner.noteEngine(shard, { type: 'report', at: now(), engine: engine.id, report })),
      noteCache: (engine, change) => this.#notifyShardOf(engine.id, shard => this.#owner.noteEngine(shard, { ...change, at: now(), engine: engine.id }))
    })
    this.#members = new BoxMembers({
      settings,
      secret: dependencies.secret,
      links: this.#links,
      log: dependencies.log,
      metrics: dependencies.metrics,
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
      plannedStop: this.#plannedStop,
      log: dependencies.log,
      metrics: dependencies.metrics,
      getConfiguration: () => this.configuration
    })
    this.#server = new CallerServer(this.#createCallerHost(now))
  }

  get configuration (): Configuration { return this.#follower.configuration }
  get inFlight (): number { return this.#placer.inFlight + this.#exchanges.serviceCallsInFlight }
  get violations (): number { return this.#violations }
  /** True if a link to the box is open. */
  isLinked (box: BoxId): boolean { return this.#openLinks.find(box) !== undefined }
  get traffic (): { readonly bytesIn: number, readonly bytesOut: number } {
    const { bytesIn, bytesOut } = this.#links.traffic
    return { bytesIn: bytesIn + this.#members.bytesIn, bytesOut: bytesOut + this.#members.bytesOut }
  }

  /** Opens all sockets and starts serving. */
  async start (): Promise<void> {
    this.#follower.load()
    this.controlPort = await this.#links.listen(this.settings.control.host, this.settings.control.port)
    await this.#members.start(this.#incarnation, this.controlPort)
    this.#updateShards()
    this.port = await this.#server.listen()
    this.#timers = [
      setInterval(() => this.#reportLoads(), loadReportIntervalMs),
      setInterval(() => this.#placer.tick(), placerTickIntervalMs),
      setInterval(() => this.#configSync.poll(), configPollIntervalMs)
    ]
    this.#dependencies.log.info('entry-started', { zone: this.zone, port: this.port, control: this.controlPort })
  }

  /**
   * Shuts down gracefully: fails the readiness probe, refuses what is not sure to end
   * in time, waits until the load balancer has noticed, stops accepting connections
   * and waits for the requests in flight. Resolves with the number of requests that
   * had not ended when `drainMs` ran out; their callers get an error.
   */
  async stop (): Promise<number> {
    const closesAt = performance.now() + this.settings.balancerLagMs
    this.#plannedStop.endBy(closesAt + this.settings.drainMs)
    this.#dependencies.log.info('leaving', { inFlight: this.inFlight })
    this.#members.leave()
    this.#updateShards()
    const box = this
    const drained = { server: this.#server, exchanges: this.#exchanges, plannedStop: this.#plannedStop, get inFlight () { return box.inFlight } }
    const abortedCount = await drainBox(drained, closesAt)
    this.kill()
    this.#dependencies.log.info('entry-stopped', { cut: abortedCount })
    return abortedCount
  }

  /** Ends a shutdown early: requests in flight get their final answers now. */
  halt (): void { this.#plannedStop.endBy(performance.now()) }

  /** Stops at once and aborts all requests in flight. */
  kill (): void {
    if (this.#isKilled) return
    this.#isKilled = true
    for (const timer of this.#timers) clearInterval(timer)
    this.#server.closeAllConnections()
    this.#enginePoller.close()
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
      leaving: this.#plannedStop.isBegun,
      inFlight: this.inFlight,
      ...describeOwnedShards(this.#owner, this.id),
      violations: this.#violations,
      incarnation: String(this.#incarnation),
      sentAt: Date.now()
    }
  }

  get #isReady (): boolean { return !this.#plannedStop.isBegun && this.#follower.revision > 0 }

  #createCallerHost (now: () => number): ConstructorParameters<typeof CallerServer>[0] {
    const box = this
    return {
      settings: this.settings,
      intake: this.#dependencies.intake,
      get configuration () { return box.configuration },
      get isReady () { return box.#isReady },
      plannedStop: this.#plannedStop,
      now,
      createRequestId: () => this.#exchanges.createRequestId(),
      startChat: (context, response) => this.#exchanges.startChat(context, response),
      startService: (context, response) => this.#exchanges.startService(context, response),
      noteRefused: (requestId, error) => this.#exchanges.noteRefused(requestId, error)
    }
  }

  #noteOpen (link: Link<BoxMessage>): void {
    this.#openLinks.add(link)
    if (this.#isKeeper(link.peer)) this.#configSync.sendWatch(link, true)
    else this.#placer.resendRequests(brandId<BoxId>(link.peer))
  }

  #isKeeper (name: string): boolean {
    return this.settings.keepers.some(keeper => keeper.id === name)
  }

  #receive (link: Link<BoxMessage>, message: BoxMessage): void {
    const from = brandId<BoxId>(link.peer)
    switch (message.type) {
      case 'reply': return this.#keepers.receive(from, message.call, message.body)
      case 'revisions':
        if (!this.#follower.applyRevisions(message.revisions)) this.#configSync.sendWatch(link, false)
        return
      case 'whole': return this.#follower.replaceDocument(message.document, message.revision)
      case 'ask-config': return sendConfigUpdate(link, this.#follower, message.revision)
      case 'shard-word': return this.#receiveShardMessage(link, message.shard, message.word)
      case 'shard-answer': return this.#placer.receive(message.shard, message.answer)
      case 'not-owner': return this.#placer.noteNotOwner(message.shard, message.request)
      case 'loads':
        this.#placer.noteLoads(from, message.loads.map(unpackLoad))
        if (message.demands !== null) this.#limits.setDemands(from, message.demands)
        return
      case 'keeper-hello': return
      default: this.#noteViolation('known-messages', message.type)
    }
  }

  #noteConfiguration (configuration: Configuration): void {
    this.#dependencies.log.info('configuration', { revision: configuration.revision })
    this.#dependencies.metrics.gauge('revision', configuration.revision)
    this.#updateShards()
    this.#configSync.reportRevision()
  }

  #noteMember (id: BoxId, isGone: boolean): void {
    if (isGone) this.#owner.removeBox(id)
    this.#updateShards()
  }

  #listZonePeers (): ReturnType<BoxMembers['listZonePeers']> { return this.#members.listZonePeers(this.#exchanges.requestCount) }

  #updateShards (): void {
    if (!this.#members.isStarted) return
    this.#directory.update(this.configuration, this.#members.listBoxes())
    this.#limits.setSharers(this.#members.listSharers())
    const { ownShards, usedShards } = this.#directory
    this.#owner.assign(ownShards, shard => configureShard(shard, this.configuration))
    this.#dialOwners(usedShards)
    this.#placer.setShards(usedShards)
    for (const shard of ownShards) this.#applyConfiguredDrains(shard)
  }

  #applyConfiguredDrains (shard: Shard): void {
    for (const id of shard.engines) {
      this.#owner.drain(id, this.configuration.engines.get(id)?.leaving === true)
    }
  }

  #dialOwners (shards: readonly PlacerShard[]): void {
    const peers = new Set<BoxId>()
    for (const { owner } of shards) if (owner !== undefined) peers.add(owner)
    for (const peer of this.#listZonePeers()) peers.add(brandId<BoxId>(peer.id))
    this.#members.dial(peers)
  }

  #sendShardMessage (owner: BoxId, shard: ShardId, message: ShardMessage): boolean {
    if (owner === this.id) return this.#owner.receive(shard, message)
    return this.#openLinks.find(owner)?.send({ type: 'shard-word', shard, word: message }) === true
  }

  #receiveShardMessage (link: Link<BoxMessage>, shard: ShardId, message: ShardMessage): void {
    if (this.#owner.receive(shard, message) || message.type !== 'submit') return
    const { request, attempt } = message.submission
    link.send({ type: 'not-owner', shard, request, attempt })
  }

  #sendShardReply (box: BoxId, shard: ShardId, reply: ShardReply): void {
    if (box === this.id) return this.#placer.receive(shard, reply)
    this.#openLinks.find(box)?.send({ type: 'shard-answer', shard, answer: reply })
  }

  #reportLoads (): void {
    const { loads } = this.#owner
    this.#placer.noteLoads(this.id, loads)
    const peers = this.#openLinks.peers.filter(peer => !this.#isKeeper(peer) && !peer.startsWith('operator'))
    this.#loadReporter.report(peers, loads, this.#limits.demands)
  }

  #notifyShardOf (engine: EngineId, note: (shard: ShardId) => void): void {
    const shard = this.#directory.findShard(engine)
    if (shard !== undefined) note(shard)
  }

  #noteViolation (rule: string, detail: string): void {
    this.#violations += 1
    this.#dependencies.metrics.count('violation', { rule })
    this.#dependencies.log.error('violation', { rule, detail })
  }
}
