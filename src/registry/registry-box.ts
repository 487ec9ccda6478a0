/**
 * A registry: a replica of the log that holds the routing document, a copy of
 * the directory of endpoints, and the place where gateways learn both. The
 * registries find each other by seeds and look after their log themselves.
 */
import { performance } from 'node:perf_hooks'
import { parseAddress } from '../config/index.js'
import type { RegistrySettings } from '../config/index.js'
import { KeeperLog, getReplicaHost } from '../coordination/index.js'
import type { ReplicaId } from '../coordination/index.js'
import { brandId } from '../core/index.js'
import type { EndpointRecord } from '../core/index.js'
import { LinkPool } from '../protocol/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'
import { CrashDesk } from './crash-desk.js'
import { DocumentAnnouncer } from './document-announcer.js'
import { DutyDesk } from './duty-desk.js'
import { EndpointDesk, restoredMs } from './endpoint-desk.js'
import { GatewayRoster } from './gateway-roster.js'
import { KnownHosts } from './known-hosts.js'
import { LeaderCalls } from './leader-calls.js'
import { LoadHub } from './load-hub.js'
import { MemberTender } from './member-tender.js'
import { OperatorDesk } from './operator-desk.js'
import { beginLog, openRegistryLog } from './open-log.js'
import { PermitCounter } from './permit-counter.js'
import { PromptBatches } from './prompt-batches.js'
import type { RegistrySurroundings } from './registry-surroundings.js'
import { ServicesInForce } from './services-in-force.js'
import { SavedState } from './saved-state.js'

/** Signs of life between registries, and the pace of the members' upkeep, ms. */
const helloMs = 250
/** How often the boxes in touch, and who was heard from, are told, ms. */
const tellMs = 2000
/** Heartbeats of links, ms: an eighth of what makes a box count as out of touch on the users' days. */
const pulse = { everyMs: 400, silentMs: 1500 }
const dialing = { connectMs: 500, longestRetryMs: 500 }

/** Rising time of this process, ms. */
function now (): number { return performance.now() }

export class RegistryBox {
  #settings: RegistrySettings
  #around: RegistrySurroundings
  #links: LinkPool<RouteMessage>
  #endpoints: EndpointDesk
  #crashes: CrashDesk
  #saved: SavedState
  #desk: OperatorDesk
  #log: KeeperLog | null = null
  #calls: LeaderCalls | null = null
  /** Null where there are none. */
  #duties: DutyDesk | null = null
  #hosts: KnownHosts
  #members: MemberTender
  #services: ServicesInForce
  #gateways = new GatewayRoster()
  #hub: LoadHub
  #permits: PermitCounter
  #prompts = new PromptBatches(() => this.#hub.prompts.prompts)
  #documents: DocumentAnnouncer
  #timers: NodeJS.Timeout[] = []
  port = 0

  constructor (settings: RegistrySettings, around: RegistrySurroundings) {
    this.#settings = settings
    this.#around = around
    const { log } = around
    this.#links = this.#createLinks()
    this.#hosts = new KnownHosts(settings.host, settings.linkPort, this.#links)
    this.#members = new MemberTender({ zone: settings.zone, faults: settings.faults, log, now })
    this.#endpoints = this.#createEndpointDesk()
    this.#hub = new LoadHub({ id: brandId(settings.id), log, now, listOthers: () => this.#hosts.others, findService: endpoint => this.#endpoints.findService(endpoint) })
    this.#permits = this.#createPermitCounter()
    this.#documents = new DocumentAnnouncer({
      ...around,
      findNewest: () => this.#log?.state.routing.newest ?? null,
      isCurrent: () => this.#log?.isCurrent === true,
      tellGateways: message => this.#gateways.tell(message)
    })
    this.#services = new ServicesInForce(around.dialect, () => this.#documents.newest)
    this.#saved = new SavedState(settings.data, log)
    this.#crashes = this.#createCrashDesk()
    this.#desk = this.#createOperatorDesk()
  }

  get keeperLog (): KeeperLog { return this.#opened.log }
  get records (): readonly EndpointRecord[] { return this.#endpoints.records }

  /** Opens the disk and begins to serve. */
  async start (): Promise<void> {
    const { listen, host, bind, linkPort, loadPort, seeds } = this.#settings
    const { log } = this.#around
    this.setSeeds(seeds)
    this.#endpoints.restore(await this.#saved.loadRecords())
    await this.#saved.loadPrompts(this.#hub.prompts)
    this.#crashes.restore(await this.#saved.loadQuarantine())
    this.#timers.push(setTimeout(() => this.#endpoints.tick(), restoredMs))
    this.#log = await this.#openLog()
    this.#calls = new LeaderCalls({ log: this.#log, findLink: replica => this.#links.find(getReplicaHost(replica), linkPort) })
    await beginLog(this.#log, this.#hosts.seeds, this.#settings.first, log)
    this.#hosts.meetMembers(this.#log.replica)
    // A snapshot is in force from the start; nobody tells of it.
    this.#documents.announce()
    // Only now: hundreds of gateways that call a seed which starts would keep it from its disk, and the log from its quorum.
    await this.#links.listen(bind === '' ? host : bind, linkPort)
    await this.#hub.listen(host, loadPort)
    this.port = await this.#desk.listen(parseAddress(listen))
    this.#startDuties(this.#log)
    this.#timers.push(setInterval(() => this.#tick(), helloMs), setInterval(() => this.#tell(), tellMs))
    this.#around.log.info('registry-started', { replica: this.#log.id, formed: this.#log.isFormed })
  }

  /** Takes other seeds; those known before stay known. */
  setSeeds (seeds: readonly string[]): void { this.#hosts.setSeeds(seeds) }

  /** Hands leadership over, then ends. */
  async stop (): Promise<void> {
    await this.#duties?.stop()
    await this.#log?.replica?.transfer()
    this.kill()
    this.#around.log.info('registry-stopped')
  }

  /** Ends at once, as a crash does. */
  kill (): void {
    for (const timer of this.#timers) clearInterval(timer)
    this.#duties?.close()
    this.#desk.close()
    this.#hub.close()
    this.#links.close()
    this.#log?.close().catch((error: Error) => this.#around.log.warn('disk-not-closed', { error: error.message }))
  }

  // What the registry is made of.

  #createLinks (): LinkPool<RouteMessage> {
    const { log, secret } = this.#around
    return new LinkPool<RouteMessage>({
      id: this.#settings.id,
      secret,
      pulse,
      clock: log.clock,
      receive: (link, message) => this.#receive(link, message),
      noteOpen: link => this.#greet(link),
      noteClosed: link => this.#noteClosed(link),
      noteFault: (fault, peer) => log.warn('link-fault', { fault, peer })
    }, dialing)
  }

  #createEndpointDesk (): EndpointDesk {
    return new EndpointDesk({
      log: this.#around.log,
      lostMs: this.#settings.lostMs,
      now,
      spread: records => {
        this.#tellAll({ type: 'endpoints', records, whole: false })
        this.#hub.noteRecords(records)
        this.#saved.saveRecords(this.#endpoints.records)
      },
      noteNewLife: endpoint => this.#hub.prompts.forget(endpoint),
      spreadHeard: words => this.#tellRegistries({ type: 'heard', words })
    })
  }

  #createCrashDesk (): CrashDesk {
    return new CrashDesk({
      log: this.#around.log,
      now,
      countEndpoints: service => this.#endpoints.records.filter(record => record.service === service && record.stage === 'ready').length,
      spread: news => this.#tellAll({ type: 'crashes', news }),
      save: entries => this.#saved.saveQuarantine(entries)
    })
  }

  #createPermitCounter (): PermitCounter {
    return new PermitCounter({
      log: this.#around.log,
      hub: this.#hub,
      now,
      isLeader: () => this.#log?.isLeader === true,
      findLeader: () => this.#log?.leader == null ? null : getReplicaHost(this.#log.leader),
      countGateways: () => this.#gateways.count
    })
  }

  #createOperatorDesk (): OperatorDesk {
    const { dialect, log, metrics } = this.#around
    return new OperatorDesk({
      dialect,
      log,
      put: document => this.#opened.calls.put(document),
      read: () => this.#opened.calls.read(),
      noteEndpoint: word => this.#endpoints.note(word),
      listQuarantine: () => this.#crashes.news.entries,
      liftQuarantine: fingerprint => this.#crashes.lift(fingerprint),
      listNotices: () => this.#hub.listNotices(),
      listUsage: () => this.#opened.log.state.usage.windows,
      noteCall: (call, status, ms) => metrics.time('registry-call', ms, { call, status: String(status) })
    }, this.#settings.maxBodyBytes)
  }

  get #opened (): { log: KeeperLog, calls: LeaderCalls } {
    if (this.#log === null || this.#calls === null) throw new Error('the registry has not started')
    return { log: this.#log, calls: this.#calls }
  }

  #openLog (): Promise<KeeperLog> {
    const { log } = this.#around
    return openRegistryLog(this.#settings, this.#hosts.seeds.includes(this.#settings.host), log, {
      send: (to, message) => this.#sendRaft(to, message),
      noteRole: (role, term, leader) => {
        this.#documents.noteRole()
        this.#permits.noteRole()
        log.info('role', { role, term, leader })
      },
      noteViolation: (rule, detail) => this.#noteViolation(rule, detail),
      noteApplied: () => this.#documents.announce(),
      noteDiskFault: error => log.error('disk-failed', { error: error.message })
    })
  }

  #startDuties (keeper: KeeperLog): void {
    const { id, duties, linkPort } = this.#settings
    if (duties === null) return
    const findLeader = () => keeper.leader === null ? undefined : this.#links.find(getReplicaHost(keeper.leader), linkPort)
    const listRecords = () => this.#endpoints.records
    this.#duties = new DutyDesk(duties, { ...this.#around, id, keeper, now, findLeader, listRecords, listServices: () => this.#services.list(), sumLoads: () => this.#hub.sumLoads() })
    this.#duties.start()
  }

  // Meeting the others.

  #greet (link: Link<RouteMessage>): void {
    this.#sendHello(link)
    // Between registries; a gateway gets them once it has presented itself.
    if (!this.#links.dialed.includes(link)) return
    link.send(this.#endpoints.whole)
    link.send({ type: 'crashes', news: this.#crashes.news })
    if (this.#hub.prompts.isEmpty) link.send({ type: 'ask-prompts' })
  }

  #sendHello (link: Link<RouteMessage>): void {
    if (this.#log === null) return
    link.send({ type: 'registry-hello', replica: this.#log.id, zone: this.#settings.zone, registries: this.#hosts.others })
  }

  #noteHello (message: Extract<RouteMessage, { type: 'registry-hello' }>): void {
    const host = getReplicaHost(message.replica)
    this.#members.noteHeard(message.replica, message.zone)
    this.#hosts.meet(host)
    for (const other of message.registries) this.#hosts.meet(other)
  }

  #noteClosed (link: Link<RouteMessage>): void {
    const gateway = this.#gateways.forget(link)
    if (gateway === null) return
    this.#permits.noteLost(gateway, link.wasSilent)
    this.#around.log.info('gateway-lost', { gateway })
  }

  #tick (): void {
    for (const link of this.#links.dialed) this.#sendHello(link)
    if (this.#gateways.takeNews()) this.#gateways.tell(this.#composeBoxes())
    if (this.#log !== null) void this.#members.tend(this.#log)
  }

  #tell (): void {
    this.#endpoints.tick()
    this.#gateways.tell(this.#composeBoxes())
    for (const replica of this.#members.forgetSilent()) this.#hosts.forget(getReplicaHost(replica))
    this.#saved.savePrompts(this.#hub.prompts)
  }

  #composeBoxes (): RouteMessage {
    return { type: 'boxes', registries: [this.#settings.host, ...this.#hosts.others], gateways: this.#gateways.count }
  }

  // Messages.

  #receive (link: Link<RouteMessage>, message: RouteMessage): void {
    switch (message.type) {
      case 'raft': return this.#log?.receive(message.from, message.to, message.message)
      case 'registry-hello': return this.#noteHello(message)
      case 'gateway-hello': return this.#noteGateway(link, message)
      case 'put':
      case 'read': return void this.#opened.calls.answer(link, message)
      case 'put-end':
      case 'read-end': return this.#calls?.receive(message)
      case 'ask-document': return this.#sendDocument(link, message.held)
      case 'endpoints': return this.#endpoints.merge(message.records)
      case 'crashes': return this.#crashes.merge(message.news)
      case 'usage': return this.#duties?.takeUsage(message.tellings)
      case 'heard': return this.#endpoints.noteHeard(message.words)
      case 'ask-permits': return this.#permits.answer(link, message)
      case 'ask-prompts': return this.#prompts.tell(link, now())
      case 'prompts': return this.#hub.prompts.note(message.prompts)
      case 'version':
      case 'document':
      case 'notices':
      case 'permits':
      case 'permits-elsewhere':
      case 'boxes': return this.#noteViolation('messages-for-registries', message.type)
    }
  }

  #noteGateway (link: Link<RouteMessage>, { gateway, version }: Extract<RouteMessage, { type: 'gateway-hello' }>): void {
    const isNew = this.#gateways.note(link, gateway)
    this.#permits.noteMet(gateway)
    const newest = this.#documents.newest?.version ?? 0
    // Before the version: a gateway that starts serves once it has the document.
    if (isNew) link.send({ type: 'crashes', news: this.#crashes.news })
    if (isNew || newest > version) link.send(this.#documents.composeVersion())
    if (!isNew) return
    // Changes are told only to gateways that are known: what came since the link opened is told here.
    link.send(this.#endpoints.whole)
    link.send({ type: 'notices', notices: this.#hub.notices.notices })
    link.send(this.#composeBoxes())
    this.#around.log.info('gateway-met', { gateway, version })
  }

  #sendDocument (link: Link<RouteMessage>, held: number): void {
    const document = this.#documents.pack(held)
    if (document !== null) link.send({ type: 'document', document })
  }

  #sendRaft (to: ReplicaId, message: Extract<RouteMessage, { type: 'raft' }>['message']): void {
    const from = this.#log?.id
    if (from !== undefined) this.#links.find(getReplicaHost(to), this.#settings.linkPort)?.send({ type: 'raft', from, to, message })
  }

  // Spreading.

  #tellAll (message: RouteMessage): void {
    this.#gateways.tell(message)
    this.#tellRegistries(message)
  }

  #tellRegistries (message: RouteMessage): void {
    for (const link of this.#links.dialed) link.send(message)
  }

  #noteViolation (rule: string, detail: string): void {
    this.#around.metrics.count('violation', { rule })
    this.#around.log.error('violation', { rule, detail })
  }
}
