/**
 * A registry: a replica of the log that holds the routing document, with a copy
 * of the endpoint directory, and the source from which gateways fetch both. The
 * registries discover each other through seeds and manage the log's membership.
 */
import { performance } from 'node:perf_hooks'
import { parseAddress } from '../config/index.js'
import type { RegistrySettings } from '../config/index.js'
import { KeeperLog, getKeeperName } from '../coordination/index.js'
import type { ReplicaId } from '../coordination/index.js'
import { brandId } from '../core/index.js'
import type { EndpointRecord } from '../core/index.js'
import type { Link, LinkPool, RouteMessage } from '../protocol/index.js'
import { CrashReplicator } from './crash-replicator.js'
import { DocumentAnnouncer } from './document-announcer.js'
import { DutyRunner } from './duty-runner.js'
import { EndpointTracker, restoredGraceMs } from './endpoint-tracker.js'
import { ConnectedGateways } from './connected-gateways.js'
import { GatewayGreeter } from './gateway-greeter.js'
import { KnownHosts } from './known-hosts.js'
import { LeaderClient } from './leader-client.js'
import { LoadHub } from './load-hub.js'
import { MembershipManager } from './membership-manager.js'
import { createOperatorServer } from './operator-host.js'
import type { OperatorServer } from './operator-server.js'
import { startLog, openRegistryLog } from './open-log.js'
import { OriginServer } from './origin-server.js'
import { PermitServer } from './permit-server.js'
import { SlotServer } from './slot-server.js'
import { PromptBatchSender } from './prompt-batches.js'
import { createContentionSwitch, createIntake } from './registry-dependencies.js'
import type { PartDependencies, RegistryDependencies } from './registry-dependencies.js'
import { ActiveServices } from './active-services.js'
import { createLinks } from './registry-links.js'
import { RegistryStop } from './registry-stop.js'
import { SavedState } from './saved-state.js'

/** Interval of hellos between registries and of membership reconciliation, ms. */
const helloIntervalMs = 250
/** How often the connected boxes and the heartbeats received are broadcast, ms. */
const broadcastIntervalMs = 2000

/** Monotonic clock of this process, ms. */
function now (): number { return performance.now() }

export class RegistryBox {
  #settings: RegistrySettings
  #dependencies: PartDependencies
  #links: LinkPool<RouteMessage>
  #endpoints: EndpointTracker
  #crashes: CrashReplicator
  #saved: SavedState
  #operatorServer: OperatorServer
  #stop: RegistryStop
  #log: KeeperLog | null = null
  #leaderClient: LeaderClient | null = null
  /** Null where no duties are configured. */
  #duties: DutyRunner | null = null
  #hosts: KnownHosts
  #membership: MembershipManager
  #services: ActiveServices
  #gateways = new ConnectedGateways()
  #greeter: GatewayGreeter
  #loadHub: LoadHub
  #permits: PermitServer
  #slots: SlotServer
  #origins = new OriginServer(now)
  #prompts = new PromptBatchSender(() => this.#loadHub.prompts.prompts)
  #documents: DocumentAnnouncer
  #timers: NodeJS.Timeout[] = []
  port = 0

  constructor (settings: RegistrySettings, dependencies: RegistryDependencies) {
    this.#settings = settings
    this.#dependencies = { ...dependencies, intake: dependencies.intake ?? createIntake(settings, dependencies) }
    const { log } = dependencies
    this.#links = createLinks(settings, this.#dependencies, { receive: (link, message) => this.#receive(link, message), noteOpen: link => this.#handleOpen(link), noteClosed: link => this.#handleClosed(link) })
    this.#hosts = new KnownHosts(settings.host, settings.linkPort, this.#links, now)
    this.#membership = new MembershipManager({ zone: settings.zone, faults: settings.faults, log, now, transfer: () => this.#transfer() })
    this.#endpoints = this.#createEndpointTracker()
    this.#loadHub = new LoadHub({ id: brandId(settings.id), log, intake: this.#dependencies.intake, now, listOthers: () => this.#hosts.all, findService: endpoint => this.#endpoints.findService(endpoint) })
    this.#permits = this.#createPermitServer()
    this.#slots = new SlotServer({ hub: this.#loadHub, gateways: this.#gateways, now, isLeader: () => this.#log?.isLeader === true, findLeader: () => this.#findLeader(), listRecords: () => this.#endpoints.records })
    this.#documents = new DocumentAnnouncer({
      ...dependencies,
      findNewest: () => this.#log?.state.routing.newest ?? null,
      isCurrent: () => this.#log?.isCurrent === true,
      broadcastToGateways: message => this.#gateways.broadcast(message)
    })
    this.#greeter = new GatewayGreeter({ ...dependencies, host: settings.host, gateways: this.#gateways, hosts: this.#hosts, permits: this.#permits, documents: this.#documents, endpoints: this.#endpoints, loadHub: this.#loadHub, listCrashes: () => this.#crashes.state })
    this.#services = new ActiveServices(dependencies.dialect, () => this.#documents.newest)
    this.#saved = new SavedState(settings.data, log)
    this.#crashes = this.#createCrashReplicator()
    this.#operatorServer = createOperatorServer({ endpoints: this.#endpoints, crashes: this.#crashes, loadHub: this.#loadHub, gateways: this.#gateways, getStarted: () => this.#started }, this.#dependencies, settings)
    this.#stop = this.#createStop()
  }

  get keeperLog (): KeeperLog { return this.#started.log }
  get records (): readonly EndpointRecord[] { return this.#endpoints.records }

  /** Loads the saved state and starts serving. */
  async start (): Promise<void> {
    const { listen, host, bind, linkPort, loadPort, seeds } = this.#settings
    const { log } = this.#dependencies
    this.setSeeds(seeds)
    await this.#saved.loadPrompts(this.#loadHub.prompts)
    this.#crashes.restore(await this.#saved.loadQuarantine())
    this.#log = await this.#openLog()
    this.#leaderClient = new LeaderClient({ log: this.#log, findLink: replica => this.#links.find(getKeeperName(replica), linkPort) })
    await startLog(this.#log, this.#hosts.seeds, this.#settings.first, log)
    this.#hosts.check(this.#log.replica)
    // The document of a snapshot is active from the start, without an apply event.
    this.#documents.announceChanges()
    // Only now, as no heartbeat arrives before.
    this.#endpoints.restore(await this.#saved.loadRecords())
    this.#timers.push(setTimeout(() => this.#endpoints.tick(), restoredGraceMs))
    // Listens only now: hundreds of gateways that connect to a starting seed would delay its disk, and so the log's quorum.
    await this.#links.listen(bind === '' ? host : bind, linkPort)
    await this.#loadHub.listen(host, loadPort)
    this.port = await this.#operatorServer.listen(parseAddress(listen))
    this.#startDuties(this.#log)
    this.#timers.push(setInterval(() => this.#tick(), helloIntervalMs), setInterval(() => this.#broadcastState(), broadcastIntervalMs))
    this.#dependencies.log.info('registry-started', { replica: this.#log.id, formed: this.#log.isFormed })
  }

  /** Replaces the seeds; registries that are known stay known while they are up. */
  setSeeds (seeds: readonly string[]): void { this.#hosts.setSeeds(seeds) }

  /** False before operators and endpoints can connect. */
  get isListening (): boolean { return this.#operatorServer.isListening }
  /** Calls of operators and endpoints that have no answer yet. */
  get inFlight (): number { return this.#operatorServer.openCount }

  /** Transfers leadership, answers the calls that have been read or may be on their way, and shuts down. */
  stop (): Promise<number> { return this.#stop.run(this.#settings.drainSeconds * 1000) }

  /** Ends a stop early: calls without an answer get one at once. */
  halt (): void { this.#stop.halt() }

  async #transfer (): Promise<void> {
    await this.#transferLeadership()
    this.#duties?.resume()
  }

  // The lease on the duties is released first, so that the next leader need not wait until it expires.
  async #transferLeadership (): Promise<void> {
    await this.#duties?.suspend()
    await this.#log?.replica?.transfer()
  }

  /** Shuts down at once, as a crash would. */
  kill (): void {
    for (const timer of this.#timers) clearInterval(timer)
    this.#duties?.close()
    this.#operatorServer.close()
    this.#loadHub.close()
    this.#links.close()
    this.#log?.close().catch((error: Error) => this.#dependencies.log.warn('disk-not-closed', { error: error.message }))
  }

  #createEndpointTracker (): EndpointTracker {
    return new EndpointTracker({
      log: this.#dependencies.log,
      lostMs: this.#settings.lostMs,
      isFirst: this.#settings.first,
      now,
      broadcast: records => {
        this.#broadcastToAll({ type: 'endpoints', records, whole: false })
        this.#loadHub.noteRecords(records)
        this.#saved.saveRecords(this.#endpoints.records)
      },
      noteRestart: endpoint => this.#loadHub.prompts.forget(endpoint),
      broadcastHeartbeats: heartbeats => this.#broadcastToRegistries({ type: 'heard', words: heartbeats })
    })
  }

  #createCrashReplicator (): CrashReplicator {
    return new CrashReplicator({
      log: this.#dependencies.log,
      now,
      countEndpoints: service => this.#endpoints.records.filter(record => record.service === service && record.stage === 'ready').length,
      broadcast: update => this.#broadcastToAll({ type: 'crashes', news: update }),
      save: entries => this.#saved.saveQuarantine(entries)
    })
  }

  #createPermitServer (): PermitServer {
    return new PermitServer({
      log: this.#dependencies.log,
      hub: this.#loadHub,
      now,
      isLeader: () => this.#log?.isLeader === true,
      findLeader: () => this.#findLeader(),
      countGateways: () => this.#gateways.count
    })
  }

  #createStop (): RegistryStop {
    const box = this
    return new RegistryStop({
      log: this.#dependencies.log,
      calls: this.#operatorServer,
      get isLeader () { return box.#log?.isLeader === true },
      get leaderClient () { return box.#leaderClient },
      transfer: () => this.#transferLeadership(),
      forwardHeartbeats: () => this.#endpoints.tick(),
      kill: () => this.kill()
    })
  }

  #findLeader (): string | null { return this.#log?.leader == null ? null : getKeeperName(this.#log.leader) }

  get #started (): { log: KeeperLog, leaderClient: LeaderClient } {
    if (this.#log === null || this.#leaderClient === null) throw new Error('the registry has not started')
    return { log: this.#log, leaderClient: this.#leaderClient }
  }

  #openLog (): Promise<KeeperLog> {
    const { log } = this.#dependencies
    return openRegistryLog(this.#settings, this.#hosts.seeds.includes(this.#settings.host), log, {
      send: (to, message) => this.#sendRaft(to, message),
      noteRole: (role, term, leader) => {
        this.#documents.noteRole()
        this.#permits.noteRole()
        this.#slots.noteRole()
        log.info('role', { role, term, leader })
      },
      noteViolation: (rule, detail) => this.#noteViolation(rule, detail),
      noteApplied: () => this.#documents.announceChanges(),
      noteDiskFault: error => log.error('disk-failed', { error: error.message })
    })
  }

  #startDuties (keeper: KeeperLog): void {
    const { id, duties, linkPort } = this.#settings
    if (duties === null) return
    const findLeader = () => keeper.leader === null ? undefined : this.#links.find(getKeeperName(keeper.leader), linkPort)
    const listRecords = () => this.#endpoints.records
    this.#duties = new DutyRunner(duties, { ...this.#dependencies, id, keeper, now, findLeader, listRecords, contention: createContentionSwitch(this.#settings, this.#dependencies), listServices: () => this.#services.list(), sumLoads: () => this.#loadHub.sumLoads() })
    this.#duties.start()
  }

  // Connections.

  #handleOpen (link: Link<RouteMessage>): void {
    this.#sendHello(link)
    // To registries only; a gateway gets them after its hello.
    if (!this.#links.dialed.includes(link)) return
    link.send(this.#endpoints.fullMessage)
    link.send({ type: 'heard', words: this.#endpoints.listHeard() })
    link.send({ type: 'crashes', news: this.#crashes.state })
    if (this.#loadHub.prompts.isEmpty) link.send({ type: 'ask-prompts' })
  }

  #sendHello (link: Link<RouteMessage>): void {
    if (this.#log === null) return
    link.send({ type: 'registry-hello', replica: this.#log.id, zone: this.#settings.zone, later: !this.#settings.first, registries: this.#hosts.recent })
  }

  #handleRegistryHello (message: Extract<RouteMessage, { type: 'registry-hello' }>): void {
    this.#membership.noteMessage(message.replica, message.zone, message.later === true)
    this.#hosts.noteHello(getKeeperName(message.replica), message.registries)
  }

  #handleClosed (link: Link<RouteMessage>): void {
    this.#leaderClient?.noteClosed(link)
    const gateway = this.#gateways.remove(link)
    if (gateway === null) return
    this.#permits.noteDisconnected(gateway, link.hasTimedOut)
    this.#slots.noteDisconnected(gateway)
    this.#dependencies.log.info('gateway-lost', { gateway })
  }

  #tick (): void {
    for (const link of this.#links.dialed) this.#sendHello(link)
    if (this.#gateways.takeNewGatewayFlag()) this.#gateways.broadcast(this.#greeter.composeBoxes())
    if (this.#log !== null) void this.#membership.reconcile(this.#log)
  }

  #broadcastState (): void {
    this.#endpoints.tick()
    this.#gateways.broadcast(this.#greeter.composeBoxes())
    this.#membership.dropExpired()
    this.#hosts.check(this.#log?.replica ?? null)
    this.#saved.savePrompts(this.#loadHub.prompts)
  }

  // Messages.

  #receive (link: Link<RouteMessage>, message: RouteMessage): void {
    switch (message.type) {
      case 'raft': return this.#log?.receive(message.from, message.to, message.message)
      case 'registry-hello': return this.#handleRegistryHello(message)
      case 'gateway-hello': return this.#greeter.handleHello(link, message)
      case 'put':
      case 'read': return void this.#started.leaderClient.serve(link, message)
      case 'put-end':
      case 'read-end': return this.#leaderClient?.handleAnswer(message)
      case 'ask-document': return this.#documents.send(link, message.held)
      case 'endpoints': return message.whole ? this.#endpoints.mergeWhole(message) : this.#endpoints.merge(message.records)
      case 'crashes': return this.#crashes.merge(message.news)
      case 'usage': return this.#duties?.mergeUsage(message.tellings)
      case 'heard': return this.#endpoints.noteHeartbeats(message.words)
      case 'ask-relays': return void link.send({ type: 'relays', relays: this.#gateways.listRelays(message.zone, this.#gateways.find(link)) })
      case 'slot-report': return this.#slots.handleReport(link, this.#gateways.find(link) ?? brandId(link.peer), message)
      case 'ask-permits': return this.#permits.answer(link, message)
      case 'ask-prompts': return this.#prompts.sendAll(link, now())
      case 'prompts': return this.#loadHub.prompts.note(message.prompts)
      case 'stream-origins': return this.#origins.note(message.origins)
      case 'find-stream': return this.#origins.answer(link, message)
      case 'version':
      case 'document':
      case 'notices':
      case 'relays':
      case 'slots':
      case 'slots-elsewhere':
      case 'permits':
      case 'permits-elsewhere':
      case 'stream-found':
      case 'boxes': return this.#noteViolation('messages-for-registries', message.type)
    }
  }

  #sendRaft (to: ReplicaId, message: Extract<RouteMessage, { type: 'raft' }>['message']): void {
    const from = this.#log?.id
    if (from !== undefined) this.#links.find(getKeeperName(to), this.#settings.linkPort)?.send({ type: 'raft', from, to, message })
  }

  #broadcastToAll (message: RouteMessage): void {
    this.#gateways.broadcast(message)
    this.#broadcastToRegistries(message)
  }

  #broadcastToRegistries (message: RouteMessage): void {
    for (const link of this.#links.dialed) link.send(message)
  }

  #noteViolation (rule: string, detail: string): void {
    this.#dependencies.metrics.count('violation', { rule })
    this.#dependencies.log.error('violation', { rule, detail })
  }
}
