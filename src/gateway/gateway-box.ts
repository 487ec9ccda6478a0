/**
 * A gateway: an entry box that routes by a document. It decides alone, on what
 * it sees and hears; no request waits for a word from another box.
 */
import { performance } from 'node:perf_hooks'
import type { ServerResponse } from 'node:http'
import { parseAddress } from '../config/index.js'
import type { GatewaySettings } from '../config/index.js'
import type { VersionedText } from '../coordination/index.js'
import { EndpointDirectory, Fleet, NoticeBook, RecentMost, RouteTable, brandId } from '../core/index.js'
import type { BoxId, CrashNews, EndpointRecord, ZoneName } from '../core/index.js'
import type { CallerWords } from '../protocol/index.js'
import type { Refusal } from './answers.js'
import { CallerDoor } from './caller-door.js'
import { CrashGuard } from './crash-guard.js'
import { EndpointAgent } from './endpoint-agent.js'
import { EndpointProber } from './endpoint-prober.js'
import { Exchange } from './exchange.js'
import type { ExchangeHost } from './exchange-host.js'
import { tellEnd } from './exchange-report.js'
import type { ExchangeSummary } from './exchange-summary.js'
import type { GatewaySurroundings } from './gateway-surroundings.js'
import { sweepMs, endpointsMs, lagMs, beliefsMs, gatewayCountMs, quietMs, endMs } from './gateway-timing.js'
import { LimitDesk } from './limit-desk.js'
import { LoadReporter } from './load-reporter.js'
import type { Order } from './order.js'
import { ReadyDoor } from './ready-door.js'
import { RegistryFollower } from './registry-follower.js'
import { RetryAllowance } from './retry-allowance.js'
import { UsageTeller } from './usage-teller.js'
import { WaitingLine } from './waiting-line.js'

/** Rising time of this process, ms. */
function now (): number { return performance.now() }

export class GatewayBox {
  #settings: GatewaySettings
  #around: GatewaySurroundings
  #fleet: Fleet
  #directory = new EndpointDirectory()
  #table: RouteTable | null = null
  #tableAt = 0
  #noteRouted: () => void = () => {}
  #routed = new Promise<void>(resolve => { this.#noteRouted = resolve })
  #retries: RetryAllowance
  #gatewayCount = new RecentMost(gatewayCountMs)
  #agent = new EndpointAgent()
  #exchanges = new Set<Exchange>()
  #door: CallerDoor
  #ready: ReadyDoor
  #loads: LoadReporter
  #follower: RegistryFollower
  #exchangeHost: ExchangeHost<Exchange>
  #line: WaitingLine
  #prober: EndpointProber
  #guard: CrashGuard
  #limits: LimitDesk
  /** Null where usage is not asked for. */
  #usage: UsageTeller | null
  #leaving = false
  #leavesAt: number | null = null
  #busyAt = 0
  #requests = 0
  #timer: NodeJS.Timeout | null = null
  #teller: NodeJS.Timeout | null = null
  port = 0
  readyPort = 0

  constructor (settings: GatewaySettings, around: GatewaySurroundings) {
    this.#settings = settings
    this.#around = around
    const { dialect, log } = around
    const notices = new NoticeBook()
    this.#fleet = new Fleet(brandId<ZoneName>(settings.zone), ({ record }) => this.#agent.isConnected(record.host, record.port), id => notices.find(id))
    this.#retries = new RetryAllowance(settings.retries)
    this.#loads = this.#createReporter()
    this.#follower = this.#createFollower()
    this.#line = new WaitingLine({
      now,
      draw: Math.random,
      countHolders: (service, priority) => this.#fleet.countHolders(service, priority),
      countApart: service => this.#fleet.countApart(service)
    })
    this.#prober = new EndpointProber(log, now)
    this.#guard = new CrashGuard({ log, metrics: around.metrics, fleet: this.#fleet, prober: this.#prober, now, tell: news => this.#follower.tell({ type: 'crashes', news }) })
    this.#limits = this.#createLimitDesk(notices)
    const windowMs = settings.usageWindowSeconds * 1000
    this.#usage = windowMs === 0 ? null : new UsageTeller({ windowMs, now, findLink: () => this.#follower.findNear() })
    this.#exchangeHost = this.#createExchangeHost()
    this.#door = this.#createDoor()
    this.#ready = new ReadyDoor(dialect.readyPath, () => this.isReady)
  }

  get isReady (): boolean {
    if (this.#table === null || this.#leaving) return false
    const { services } = this.#table.document
    const isServing = this.#directory.records.some(({ stage, service }) => stage === 'ready' && services.some(({ name }) => name === service))
    return isServing || now() - this.#tableAt > endpointsMs
  }

  get inFlight (): number { return this.#exchanges.size }
  get table (): RouteTable | null { return this.#table }
  get fleet (): Fleet { return this.#fleet }

  /** What is known here of ends of endpoints and of requests in quarantine. */
  listCrashes (): CrashNews { return this.#guard.list() }

  /** Begins to serve; callers are refused until there are routes. */
  async start (): Promise<void> {
    const { listen, ready, host, seeds } = this.#settings
    this.port = await this.#door.listen(parseAddress(listen))
    this.readyPort = await this.#ready.listen(parseAddress(ready))
    await this.#loads.open(host)
    this.#follower.start(seeds)
    this.#timer = setInterval(() => this.#sweep(), sweepMs)
    this.#teller = setInterval(() => this.#tellBeliefs(), beliefsMs)
    this.#usage?.start()
    this.#around.log.info('gateway-started', { listen, seeds: seeds.join(',') })
  }

  /** Takes other seeds. */
  setSeeds (seeds: readonly string[]): void { this.#follower.setSeeds(seeds) }

  /** Stops without cutting a request: callers that still come are served until it is quiet. Returns what had to be cut. */
  async stop (): Promise<number> {
    this.#leaving = true
    const startedAt = now()
    const until = startedAt + this.#settings.drainSeconds * 1000 - endMs
    this.#leavesAt = until
    this.#around.log.info('gateway-leaving', { inFlight: this.inFlight })
    while (now() < until && !this.#isQuiet(startedAt)) await new Promise(resolve => setTimeout(resolve, sweepMs))
    const cut = this.inFlight
    for (const exchange of [...this.#exchanges]) exchange.cut()
    this.#usage?.end()
    await new Promise(resolve => setImmediate(resolve))
    this.kill()
    this.#around.log.info('gateway-stopped', { cut, ms: Math.round(now() - startedAt) })
    return cut
  }

  /** Ends at once, as a crash does. */
  kill (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    if (this.#teller !== null) clearInterval(this.#teller)
    this.#usage?.close()
    this.#line.close()
    this.#door.close()
    this.#ready.close()
    this.#loads.close()
    this.#follower.close()
    this.#agent.destroy()
  }

  #isQuiet (startedAt: number): boolean {
    const at = now()
    return at - startedAt > lagMs && this.inFlight === 0 && at - this.#busyAt > quietMs
  }

  #createReporter (): LoadReporter {
    const { id, zone, loadPort } = this.#settings
    return new LoadReporter({
      id: brandId<BoxId>(id),
      zone: brandId<ZoneName>(zone),
      log: this.#around.log,
      hubPort: loadPort,
      now,
      listHubs: () => this.#follower.listNear(),
      composeLoad: () => this.#fleet.composeLoad(now()),
      listNotices: () => this.#limits.listUntold(),
      takeNotices: (notices, hub) => this.#limits.mergeNotices(notices, hub),
      noteHub: () => this.#limits.noteHub(),
      takeOthers: (others, intervalMs) => {
        this.#fleet.noteOthers(others, now())
        this.#line.setStaleness(intervalMs)
        this.#line.look()
      }
    })
  }

  #createFollower (): RegistryFollower {
    const { id, zone, linkPort } = this.#settings
    const { log, secret } = this.#around
    return new RegistryFollower({
      log,
      secret,
      linkPort,
      id: brandId<BoxId>(id),
      zone: brandId<ZoneName>(zone),
      now,
      draw: Math.random,
      takeDocument: document => this.#adopt(document),
      takePrompts: prompts => this.#fleet.notePrompts(prompts),
      takeRecords: records => this.#takeRecords(records),
      takeCrashes: news => this.#guard.merge(news),
      listCrashes: () => this.listCrashes(),
      takeGatewayCount: count => {
        this.#gatewayCount.note(now(), count)
        this.#fleet.noteBoxes(this.#gatewayCount.find(now(), 1))
      },
      noteZone: heard => this.#fleet.zones.noteHeard(heard, now()),
      takeNotices: (notices, registry) => this.#limits.mergeNotices(notices, registry),
      takePermits: answer => this.#limits.takePermits(answer)
    })
  }

  #createLimitDesk (notices: NoticeBook): LimitDesk {
    const { log, metrics } = this.#around
    return new LimitDesk({
      log,
      metrics,
      fleet: this.#fleet,
      now,
      countBoxes: () => this.#gatewayCount.find(now(), 0),
      countHeld: (service, priority) => this.#line.count(service, priority),
      noteNews: () => this.#loads.noteChange(),
      askIssuer: message => this.#follower.askIssuer(message),
      setIssuer: registry => this.#follower.setIssuer(registry)
    }, notices)
  }

  #createExchangeHost (): ExchangeHost<Exchange> {
    return {
      dialect: this.#around.dialect,
      fleet: this.#fleet,
      agent: this.#agent,
      guard: this.#guard,
      limits: this.#limits,
      now,
      draw: Math.random,
      takeRetry: order => this.#takeRetry(order),
      noteLoad: () => this.#loads.noteChange(),
      hold: exchange => this.#hold(exchange),
      unhold: exchange => this.#unhold(exchange),
      noteRun: ({ workspace }, at) => { if (workspace !== null) this.#usage?.note(workspace.name, at) },
      noteEnd: (exchange, summary) => this.#noteEnd(exchange, summary)
    }
  }

  #createDoor (): CallerDoor {
    const box = this
    return new CallerDoor({
      dialect: this.#around.dialect,
      get table () { return box.#table },
      routed: this.#routed,
      get isLeaving () { return box.#leaving },
      get leavesInMs () { return box.#leavesAt === null ? null : box.#leavesAt - now() },
      now,
      draw: Math.random,
      makeRequestId: () => this.#makeRequestId(),
      begin: (order, response) => this.#begin(order, response),
      noteRefused: (words, refusal) => this.#noteRefused(words, refusal)
    }, this.#settings.maxConnections)
  }

  #makeRequestId (): string {
    this.#requests += 1
    return `${this.#settings.id}-${Date.now().toString(36)}-${this.#requests}`
  }

  // Documents and endpoints.

  #adopt ({ version, text }: VersionedText): void {
    const startedAt = now()
    let table
    try {
      table = new RouteTable(this.#around.dialect.decodeDocument(text))
    } catch (error) {
      return this.#around.log.error('document-not-read', { version, error: (error as Error).message })
    }
    this.#table = table
    this.#noteRouted()
    this.#tableAt = now()
    const { services, routes, limits } = table.document
    this.#fleet.configure(services)
    this.#door.setLimits(limits)
    for (const { name } of services) this.#retries.open(name)
    const readMs = Math.round(now() - startedAt)
    this.#around.log.info('routes-in-force', { version, routes: routes.length, services: services.length, readMs })
    this.#around.metrics.gauge('document-version', version)
  }

  #takeRecords (records: readonly EndpointRecord[]): void {
    const changed = records.flatMap(record => this.#directory.merge(record))
    if (changed.length === 0) return
    this.#fleet.applyRecords(changed)
    this.#limits.noteRecords(changed)
    for (const record of changed) this.#guard.noteRecord(record)
    for (const { id, service, stage, sequence, zone } of changed) this.#around.log.info('endpoint', { endpoint: id, service, stage, sequence, zone })
  }

  // Requests.

  #begin (order: Order, response: ServerResponse): Exchange {
    const at = now()
    this.#busyAt = at
    this.#retries.noteRequest(order.service, at)
    this.#fleet.noteArrival(order.work, at)
    this.#limits.noteArrival(order.work, at)
    const exchange = new Exchange(this.#exchangeHost, order, response)
    this.#exchanges.add(exchange)
    exchange.start()
    return exchange
  }

  #hold (exchange: Exchange): void {
    this.#line.add(exchange)
    this.#fleet.noteHeld(exchange.order.work, true)
    this.#loads.noteChange()
  }

  #unhold (exchange: Exchange): void {
    this.#line.remove(exchange)
    this.#fleet.noteHeld(exchange.order.work, false)
    this.#loads.noteChange()
  }

  #takeRetry (order: Order): boolean {
    if (!this.#guard.maySendAgain(order)) return false
    const at = now()
    return this.#retries.take(order.service, at, this.#gatewayCount.find(at, 1))
  }

  #sweep (): void {
    const at = now()
    for (const exchange of this.#exchanges) exchange.check(at)
    this.#limits.check(at)
    this.#prober.look(this.#fleet.views)
  }

  #tellBeliefs (): void {
    for (const { service, text } of this.#fleet.describe(now())) this.#around.log.info('beliefs', { service, text })
  }

  #noteRefused (words: CallerWords | null, refusal: Refusal): void {
    this.#around.metrics.count('refused', { kind: refusal.kind })
    this.#around.log.warn('refused', { request: words?.requestId, kind: refusal.kind, version: this.#table?.version ?? 0, text: refusal.text })
  }

  #noteEnd (exchange: Exchange, summary: ExchangeSummary): void {
    this.#busyAt = now()
    this.#exchanges.delete(exchange)
    this.#guard.forget(exchange.order)
    this.#door.release(exchange)
    tellEnd(summary, this.#around.log, this.#around.metrics)
  }
}
