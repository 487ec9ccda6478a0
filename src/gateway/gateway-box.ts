/**
 * A gateway: an entry box that routes requests by a routing document. It decides
 * on its own state; only a send to an endpoint with a rate limit waits for a
 * permit from a registry.
 */
import { performance } from 'node:perf_hooks'
import type { ServerResponse } from 'node:http'
import { parseAddress } from '../config/index.js'
import type { GatewaySettings } from '../config/index.js'
import type { VersionedText } from '../coordination/index.js'
import { EndpointDirectory, Fleet, NoticeStore, SlidingMax, brandId } from '../core/index.js'
import type { BoxId, CrashUpdate, EndpointRecord, RouteTable, ZoneName } from '../core/index.js'
import { AnswerStore } from './answer-store.js'
import { CallerServer } from './caller-server.js'
import { BeliefsLog, createContentionSwitch } from './beliefs-log.js'
import { CrashGuard } from './crash-guard.js'
import { Drain } from './drain.js'
import { EndpointPaths } from './endpoint-paths.js'
import { reportError } from './error-report.js'
import { Exchange } from './exchange.js'
import type { ExchangeHost } from './exchange-host.js'
import { reportExchange, reportRefusal } from './exchange-report.js'
import type { ExchangeSummary } from './exchange-summary.js'
import { createIntake, limitConnections } from './gateway-dependencies.js'
import type { GatewayDependencies, PartDependencies } from './gateway-dependencies.js'
import { Hedges } from './hedges.js'
import { readyWithoutEndpointsMs, beliefsIntervalMs, flushMs, gatewayCountTtlMs } from './gateway-timing.js'
import { EndpointLimits } from './endpoint-limits.js'
import { LoadReporter } from './load-reporter.js'
import type { AdmittedRequest } from './admitted-request.js'
import { ReadinessServer } from './readiness-server.js'
import { RegistryFollower } from './registry-follower.js'
import { RetryBudgets } from './retry-budgets.js'
import { StreamOrigins } from './stream-origins.js'
import { readRoutes } from './route-reader.js'
import { SweepTimer } from './sweep-timer.js'
import { UsageReporter } from './usage-reporter.js'
import { WaitQueue, createQueueHost } from './wait-queue.js'

/** Monotonic time of this process, ms. */
function now (): number { return performance.now() }

export class GatewayBox {
  #settings: GatewaySettings
  #dependencies: PartDependencies
  #fleet: Fleet
  #directory = new EndpointDirectory()
  #table: RouteTable | null = null
  #tableSetAt = 0
  #resolveRouted: () => void = () => {}
  #routed = new Promise<void>(resolve => { this.#resolveRouted = resolve })
  #retryBudgets: RetryBudgets
  #gatewayCount = new SlidingMax(gatewayCountTtlMs)
  #paths: EndpointPaths
  #exchanges = new Set<Exchange>()
  #callerServer: CallerServer
  #readinessServer: ReadinessServer
  #loadReporter: LoadReporter
  #follower: RegistryFollower
  #exchangeHost: ExchangeHost<Exchange>
  #waitQueue: WaitQueue
  #guard: CrashGuard
  #limits: EndpointLimits
  #origins: StreamOrigins
  /** Null if usage reporting is off. */
  #usageReporter: UsageReporter | null
  #drain = new Drain({ now, getLog: () => this.#dependencies.log })
  #sweepTimer = new SweepTimer(now, at => this.#sweep(at), ms => this.#dependencies.log.warn('gateway-held-up', { ms: Math.round(ms) }))
  #beliefsTimer: NodeJS.Timeout | null = null
  port = 0
  readyPort = 0

  constructor (settings: GatewaySettings, dependencies: GatewayDependencies) {
    this.#settings = settings
    this.#dependencies = { ...dependencies, intake: dependencies.intake ?? createIntake(settings, dependencies) }
    const { dialect, log } = dependencies
    const notices = new NoticeStore()
    this.#fleet = new Fleet(brandId<ZoneName>(settings.zone), view => this.#paths.isConnected(view), id => notices.find(id), createContentionSwitch(settings, dialect))
    this.#retryBudgets = new RetryBudgets(settings.retries)
    this.#loadReporter = this.#createLoadReporter()
    this.#follower = this.#createFollower()
    this.#waitQueue = new WaitQueue(createQueueHost(this.#fleet, now))
    this.#paths = this.#createPaths()
    this.#guard = new CrashGuard({ log, metrics: dependencies.metrics, fleet: this.#fleet, paths: this.#paths, now, broadcast: update => this.#follower.broadcast({ type: 'crashes', news: update }) })
    this.#limits = this.#createLimits(notices)
    this.#origins = new StreamOrigins({ ...dependencies, id: brandId(settings.id), zone: brandId(settings.zone), now, listRegistries: () => this.#follower.listReachable(), versions: this.#directory.versions, knowsAllVersions: () => this.#follower.knowsAllVersions })
    this.#usageReporter = settings.usageWindowSeconds === 0 ? null : new UsageReporter({ windowMs: settings.usageWindowSeconds * 1000, now, findLink: () => this.#follower.findPreferredLink() })
    this.#exchangeHost = this.#createExchangeHost()
    this.#callerServer = this.#createCallerServer()
    this.#readinessServer = new ReadinessServer(dialect.readyPath, this.#dependencies.intake, () => this.isReady)
  }

  get isReady (): boolean {
    if (this.#table === null || this.#drain.isLeaving) return false
    const { services } = this.#table.document
    const isServing = this.#directory.records.some(({ stage, service }) => stage === 'ready' && services.some(({ name }) => name === service))
    return isServing || now() - this.#tableSetAt > readyWithoutEndpointsMs
  }

  /** Known crashes of endpoints and requests in quarantine. */
  listCrashes (): CrashUpdate { return this.#guard.list() }

  get inFlight (): number { return this.#exchanges.size }
  get table (): RouteTable | null { return this.#table }
  get fleet (): Fleet { return this.#fleet }
  get answers (): AnswerStore { return this.#exchangeHost.answers }

  /** Starts to serve; callers are refused until the first routes are active. */
  async start (): Promise<void> {
    const { listen, ready, host, seeds } = this.#settings
    this.port = await this.#callerServer.listen(parseAddress(listen))
    this.readyPort = await this.#readinessServer.listen(parseAddress(ready))
    await this.#loadReporter.open(host)
    await this.#paths.start()
    this.#follower.start(seeds)
    this.#sweepTimer.start()
    const beliefsLog = new BeliefsLog(this.#fleet, this.#dependencies.log)
    this.#beliefsTimer = setInterval(() => beliefsLog.write(now()), beliefsIntervalMs)
    this.#usageReporter?.start()
    this.#dependencies.log.info('gateway-started', { listen, seeds: seeds.join(',') })
  }

  /** Replaces the seed addresses; registries that are known stay known while they are up. */
  setSeeds (seeds: readonly string[]): void { this.#follower.setSeeds(seeds) }

  /** Drains the box and stops it, once it is idle or the drain time is over. Callers that still arrive are served if their deadline is before that. All others get a final answer, but for answers that have begun: these are truncated. Returns the number of requests that were in flight at its end. */
  async stop (): Promise<number> {
    this.#dependencies.log.info('gateway-leaving', { inFlight: this.inFlight })
    const isIdle = (): boolean => this.inFlight === 0 && this.#callerServer.arrivingCount === 0 && this.#paths.forwardedCount === 0 && this.answers.isIdle
    const drained = this.#drain.run(this.#settings.drainSeconds * 1000, isIdle, this.#sweepTimer.earliestSignalAt)
    this.#callerServer.closeAfterAnswers()
    this.#paths.reportStatus()
    const ms = await drained
    for (const exchange of [...this.#exchanges]) exchange.check(now())
    const cut = this.inFlight
    for (const exchange of [...this.#exchanges]) exchange.stop()
    this.#callerServer.refuseArriving()
    this.#usageReporter?.flush()
    await this.answers.flush(flushMs, () => !this.#callerServer.isServing)
    for (const exchange of [...this.#exchanges]) exchange.cut('stopped')
    this.kill()
    this.#dependencies.log.info('gateway-stopped', { cut, ms: Math.round(ms) })
    return cut
  }

  /** Ends a drain early: what is in flight is ended as at its end. */
  halt (): void { this.#drain.halt() }

  /** Stops at once, as a crash would. */
  kill (): void {
    this.#sweepTimer.stop()
    if (this.#beliefsTimer !== null) clearInterval(this.#beliefsTimer)
    this.#usageReporter?.close()
    this.#waitQueue.close()
    this.#callerServer.close()
    this.#readinessServer.close()
    this.#loadReporter.close()
    this.#follower.close()
    this.#paths.close()
    this.#dependencies.intake.close()
  }

  #createLoadReporter (): LoadReporter {
    return new LoadReporter({
      id: brandId(this.#settings.id),
      zone: brandId(this.#settings.zone),
      log: this.#dependencies.log,
      hubPort: this.#settings.loadPort,
      now,
      listHubs: () => this.#follower.listReachable(),
      composeLoad: () => this.#fleet.composeLoad(now()),
      listNotices: () => this.#limits.listUnconfirmed(),
      handleNotices: (notices, hub) => this.#limits.mergeNotices(notices, hub),
      noteHubChange: () => this.#limits.noteHubChange(),
      handleOthers: (others, intervalMs, reportedAt) => {
        this.#fleet.noteOthers(others, now(), reportedAt)
        this.#waitQueue.setStaleness(intervalMs)
        this.#waitQueue.retry()
      }
    })
  }

  #createFollower (): RegistryFollower {
    return new RegistryFollower({
      ...this.#dependencies,
      versions: this.#directory.versions,
      linkPort: this.#settings.linkPort,
      id: brandId<BoxId>(this.#settings.id),
      zone: brandId<ZoneName>(this.#settings.zone),
      now,
      draw: Math.random,
      handleDocument: document => this.#applyDocument(document),
      handlePrompts: prompts => this.#fleet.notePrompts(prompts),
      handleRecords: records => this.#applyRecords(records),
      handleCrashes: update => this.#guard.merge(update),
      listCrashes: () => this.listCrashes(),
      handleGatewayCount: count => {
        this.#gatewayCount.note(now(), count)
        this.#fleet.noteBoxes(this.#gatewayCount.find(now(), 1))
      },
      noteZoneAlive: heard => this.#fleet.zones.noteMessage(heard, now()),
      handleNotices: (notices, registry) => this.#limits.mergeNotices(notices, registry),
      describePaths: () => ({ relay: this.#paths.relayAddress, lost: this.#paths.lostServices }),
      handleRelays: relays => this.#paths.setRelays(relays),
      handleSlots: answer => this.#limits.takeSlots(answer),
      handlePermits: answer => this.#limits.takePermits(answer),
      handleStream: answer => this.#origins.receive(answer)
    })
  }

  #createPaths (): EndpointPaths {
    const box = this
    return new EndpointPaths(this.#settings, {
      fleet: this.#fleet,
      get isLeaving () { return box.#drain.isLeaving },
      get maxBodyBytes () { return box.#table?.document.limits.bodyBytes ?? 0 },
      now,
      draw: Math.random,
      countBoxes: () => this.#gatewayCount.find(now(), 0),
      askRelays: () => this.#follower.askRelays(),
      noteStatusChange: () => this.#follower.sendHello()
    }, this.#dependencies)
  }

  #createLimits (notices: NoticeStore): EndpointLimits {
    return new EndpointLimits({
      ...this.#dependencies,
      fleet: this.#fleet,
      zone: brandId(this.#settings.zone),
      now,
      draw: Math.random,
      countBoxes: () => this.#gatewayCount.find(now(), 0),
      countQueued: (service, priority) => this.#waitQueue.count(service, priority),
      noteNoticeChange: () => this.#loadReporter.noteChange(),
      askIssuer: message => this.#follower.sendToIssuer(message),
      setIssuer: registry => this.#follower.setIssuer(registry)
    }, notices)
  }

  #createExchangeHost (): ExchangeHost<Exchange> {
    return {
      dialect: this.#dependencies.dialect,
      fleet: this.#fleet,
      paths: this.#paths,
      guard: this.#guard,
      limits: this.#limits,
      hedges: new Hedges(this.#fleet, (service, use) => this.#retryBudgets.has(service, use, now(), this.#gatewayCount.find(now(), 1)), this.#dependencies.metrics),
      origins: this.#origins,
      answers: new AnswerStore(this.#dependencies, now),
      now,
      draw: Math.random,
      hasRetry: ({ service }) => this.#retryBudgets.has(service, 'retry', now(), this.#gatewayCount.find(now(), 1)),
      canFinish: request => this.#drain.canFinish(request),
      takeRetry: (request, use) => this.#guard.maySendAgain(request) && this.#retryBudgets.take(request.service, use, now(), this.#gatewayCount.find(now(), 1)),
      noteLoad: () => this.#noteLoad(),
      enqueue: exchange => this.#setQueued(exchange, true),
      dequeue: exchange => this.#setQueued(exchange, false),
      noteRun: ({ workspace }, at) => { if (workspace !== null) this.#usageReporter?.note(workspace.name, at) },
      noteEnd: (exchange, summary) => this.#noteEnd(exchange, summary),
      noteError: (requestId, error) => reportError('exchange', requestId, error, this.#dependencies)
    }
  }

  #createCallerServer (): CallerServer {
    const box = this
    return new CallerServer({
      ...this.#dependencies,
      get table () { return box.#table },
      routed: this.#routed,
      drain: this.#drain,
      now,
      draw: Math.random,
      boxId: this.#settings.id,
      resolveStream: (headers, route, workspace) => this.#origins.resolve(headers, route, workspace),
      begin: (request, response) => this.#startExchange(request, response),
      noteRefused: (headers, refusal) => reportRefusal(headers, refusal, this.#table?.version ?? 0, this.#dependencies),
      noteError: error => reportError('arrival', '', error, this.#dependencies)
    }, limitConnections(this.#settings))
  }

  // Documents and endpoints.

  #applyDocument (document: VersionedText): void {
    const startedAt = now()
    const table = readRoutes(document, this.#dependencies)
    if (table === null) return
    this.#table = table
    this.#tableSetAt = now()
    this.#resolveRouted()
    const { services, routes, limits } = table.document
    this.#fleet.configure(services)
    this.#callerServer.setLimits(limits)
    for (const { name } of services) this.#retryBudgets.addService(name)
    this.#dependencies.log.info('routes-in-force', { version: document.version, routes: routes.length, services: services.length, droppedWorkspaces: table.droppedWorkspaces, readMs: Math.round(now() - startedAt) })
    this.#dependencies.metrics.gauge('document-version', document.version)
  }

  #applyRecords (records: readonly EndpointRecord[]): void {
    const changed = records.flatMap(record => this.#directory.merge(record))
    if (changed.length === 0) return
    this.#fleet.applyRecords(changed)
    this.#paths.noteRecords(changed)
    this.#limits.noteRecords(changed)
    for (const record of changed) this.#guard.noteRecord(record)
    for (const { id, service, stage, sequence, zone } of changed) this.#dependencies.log.info('endpoint', { endpoint: id, service, stage, sequence, zone })
  }

  // Requests.

  #startExchange (request: AdmittedRequest, response: ServerResponse): Exchange {
    const at = now()
    this.#drain.noteAccepted(request, at)
    this.#retryBudgets.noteRequest(request.service, at)
    this.#fleet.noteArrival(request.work, at)
    this.#limits.noteArrival(request.work, at)
    const exchange = new Exchange(this.#exchangeHost, request, response)
    this.#exchanges.add(exchange)
    exchange.start()
    return exchange
  }

  #setQueued (exchange: Exchange, isQueued: boolean): void {
    if (isQueued) this.#waitQueue.add(exchange)
    else this.#waitQueue.remove(exchange)
    this.#fleet.noteQueued(exchange.request.work, isQueued)
    this.#loadReporter.noteChange()
  }

  #noteLoad (): void {
    this.#limits.noteLoad()
    this.#loadReporter.noteChange()
    this.#waitQueue.noteLoad()
  }

  #sweep (at: number): void {
    for (const exchange of this.#exchanges) exchange.check(at)
    this.#limits.check(at)
    this.#origins.check(at)
    this.answers.check()
    this.#paths.sweep(at)
  }

  #noteEnd (exchange: Exchange, summary: ExchangeSummary): void {
    this.#drain.noteActivity(now())
    this.#exchanges.delete(exchange)
    this.#guard.forget(exchange.request)
    this.#callerServer.release(exchange)
    reportExchange(summary, this.#dependencies.log, this.#dependencies.metrics)
  }
}
