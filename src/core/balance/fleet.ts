/**
 * One box's view of all endpoints, and the choice among them. Each box decides on its own, from its own requests
 * and the load that its hub last reported for the other boxes. Where all boxes must agree (which engines are
 * dedicated to long prompts, which engine is the affinity engine of a shared prompt), they compute the same result
 * from the same hash.
 */
import type { EndpointId, ServiceName, ZoneName } from '../ids.js'
import type { EndpointNotice } from '../limits/index.js'
import type { PromptTransfer, RoutedService } from '../routes/index.js'
import type { Admission } from './admission.js'
import { ContentionSwitch } from './contention.js'
import { agreeDedicatedCount, countQueuedTokens } from './agreed-dedicated-count.js'
import type { Choice, NoChoice } from './choice.js'
import { choosePlain } from './choose-endpoint.js'
import { describeServices } from './describe-service.js'
import { GateStore } from './endpoint-gate.js'
import type { EndpointRecord } from './endpoint-record.js'
import { EndpointView } from './endpoint-view.js'
import { EndpointViews } from './endpoint-views.js'
import type { BoxContext } from './endpoint-costs.js'
import { createEngineStats } from './engine-stats.js'
import { listDedicationOrder } from './dedication-order.js'
import { ReportedPrompts, notePrompt } from './reported-prompts.js'
import { placeOnEngine } from './place-on-engine.js'
import { PlainBalancer } from './plain-balancer.js'
import { OtherBoxes } from './other-boxes.js'
import type { BoxLoad, EngineGap, LoadTotals, PromptReport, ServiceDemand } from './box-load.js'
import { filterViews } from './endpoint-filter.js'
import type { EndpointFilter } from './endpoint-filter.js'
import { applyOutcomes, composeOutcomes } from './recent-outcomes.js'
import { ReturnPlanner } from './return-planner.js'
import { measureReturnRates, noRates } from './return-rates.js'
import type { ReturnRates } from './return-schedule.js'
import { noneDedicated, snapshotTtlMs } from './service-snapshot.js'
import type { ServiceSnapshot } from './service-snapshot.js'
import { listHolders } from './prompt-plan.js'
import type { PromptHolder } from './prompt-plan.js'
import { PauseEstimates } from './pause-estimates.js'
import { isPauseTolerant } from './prompt-reading.js'
import { StreamGaps } from './stream-gaps.js'
import { admitToEngines, measureCapacity } from './service-admission.js'
import type { AdmissionContext } from './service-admission.js'
import { admitPlain, composeShareReport, findShare } from './service-shares.js'
import type { ShareContext } from './service-shares.js'
import { noteArrival, noteQueuedTokens } from './service-arrivals.js'
import { composeDemand, createServiceState, hasDemand } from './service-state.js'
import type { ServiceState } from './service-state.js'
import { groupByService, isOpen, listTransferSources, listUsable } from './usable-endpoints.js'
import type { UsableEndpoints } from './usable-endpoints.js'
import type { PromptCost, RequestProfile } from './work.js'
import { ZoneMonitor } from './zone-monitor.js'

/** A zone counts as unreachable after this long without a message, ms: two heartbeats of a registry there, or several load totals that name it. */
const zoneTimeoutMs = 800

export class Fleet {
  readonly zones: ZoneMonitor
  readonly contention: ContentionSwitch
  readonly returns = new ReturnPlanner((service, at) => this.#measureReturnRates(service, at))
  readonly plain = new PlainBalancer()
  readonly gaps: StreamGaps
  #boxContext: BoxContext
  #services = new Map<ServiceName, ServiceState>()
  /** Services that the document no longer has, although endpoints of them are known. */
  #withdrawn = new Map<ServiceName, ServiceState>()
  #views = new EndpointViews(record => this.#createView(record))
  #byService = new Map<ServiceName, EndpointView[]>()
  #others = new OtherBoxes()
  #pauses: PauseEstimates
  #reportedPrompts = new ReportedPrompts()
  #snapshots = new Map<ServiceName, ServiceSnapshot>()
  #gates: GateStore

  /** `isConnected`: whether there is an open, idle connection to an endpoint; `findNotice`: returns the latest notice of an endpoint. */
  constructor (zone: ZoneName, isConnected: (view: EndpointView) => boolean = () => true, findNotice: (id: EndpointId) => EndpointNotice | undefined = () => undefined, contention = new ContentionSwitch()) {
    this.#gates = new GateStore(findNotice)
    this.contention = contention
    this.gaps = new StreamGaps(this.#others)
    this.#pauses = new PauseEstimates(this.#others, contention)
    this.zones = new ZoneMonitor(zone, zoneTimeoutMs)
    this.#boxContext = { zone, zones: this.zones, isConnected }
  }

  get views (): IterableIterator<EndpointView> { return this.#views.all }
  findView (id: EndpointId): EndpointView | undefined { return this.#views.find(id) }

  /** Applies the services of a new configuration document; measurements of services that remain, or are added again, are kept. */
  configure (services: readonly RoutedService[]): void {
    const states = new Map<ServiceName, ServiceState>()
    for (const service of services) {
      const known = this.#services.get(service.name) ?? this.#withdrawn.get(service.name)
      states.set(service.name, known === undefined ? createServiceState(service, this.contention) : { ...known, service })
    }
    const before = new Map([...this.#withdrawn, ...this.#services])
    this.#withdrawn = new Map([...before].filter(([name]) => !states.has(name) && this.#byService.has(name)))
    this.#services = states
    // Records may arrive before the document that configures their service.
    this.#views.renew(({ record: { service } }) => states.has(service) && !before.has(service))
    this.#regroup()
  }

  /** Applies newer records of the directory. */
  applyRecords (records: readonly EndpointRecord[]): void {
    for (const record of records) {
      const { id, stage } = record
      // A new incarnation has no cached prompts of the previous one.
      if (stage === 'gone' || stage === 'lost' || this.#views.isNewIncarnation(record)) this.#reportedPrompts.forget(id)
      if (stage === 'gone') this.#gates.forget(id)
      this.#views.apply(record)
    }
    this.#regroup()
  }

  /** True if a view belongs to an earlier incarnation of its endpoint. */
  isReplaced (view: EndpointView): boolean { return this.#views.isReplaced(view) }

  /** Applies reports of cached prompts, also for engines that become known later. */
  notePrompts (prompts: readonly PromptReport[]): void {
    for (const endpoint of this.#reportedPrompts.take(prompts)) {
      const view = this.#views.find(endpoint)
      if (view !== undefined) this.#reportedPrompts.note(view)
    }
  }

  /** Applies notices of endpoints. For an endpoint that becomes known later, its gate looks up the notice. */
  applyNotices (notices: readonly EndpointNotice[]): void {
    for (const notice of notices) {
      const view = this.#views.find(notice.endpoint)
      if (view?.record.born !== notice.born) continue
      view.gate.setNotice(notice)
      this.#snapshots.delete(view.record.service)
    }
  }

  /** The earliest time when an untried endpoint accepts a request; in the past if one does now, Infinity if none is known to. */
  findOpenTime (work: RequestProfile, tried: readonly EndpointId[], at: number): number {
    const untried = this.#findSnapshot(work.service, at).usable.filter(view => !tried.includes(view.id))
    return Math.min(Infinity, ...untried.map(({ gate }) => gate.findOpenTime(work.priority, at)))
  }

  /** Applies the load totals of the other boxes, from reports made at `reportedAt`; `noTotals` if no hub is reachable. */
  noteOthers (others: LoadTotals, at: number, reportedAt = at): void {
    const loads = new Map(others.loads.map(load => [load.endpoint, load]))
    for (const view of this.#views.all) view.noteOthers(loads.get(view.id) ?? null)
    for (const [endpoint, gapMs] of others.gaps) this.#views.find(endpoint)?.noteMedianGap(gapMs)
    this.#others.note(others, at, reportedAt)
    for (const { service, firstEvent } of this.#services.values()) firstEvent.noteAgreed(this.#others.find(service.name)?.firstEvent ?? null)
    if (this.contention.isOn && others.zones.length > 0) this.plain.noteTotals(this.#views.all, others.demands, reportedAt)
    if (this.contention.isOn) applyOutcomes(this.#views.all, others.demands)
    for (const { boxCpu } of others.demands) this.contention.note(boxCpu)
    if (this.contention.isOn) this.returns.noteOthers(others.demands, reportedAt)
    for (const prompt of others.prompts) {
      const view = this.#views.find(prompt[0])
      if (view !== undefined) notePrompt(view, prompt)
    }
    for (const zone of others.zones) this.zones.noteMessage(zone, at)
  }

  /** Sets the number of boxes, including this one. */
  noteBoxes (count: number): void { this.#others.noteBoxes(count) }

  listUsable (service: ServiceName, at: number): readonly EndpointView[] { return this.#findSnapshot(service, at).usable }
  listViews (service: ServiceName): readonly EndpointView[] { return this.#byService.get(service) ?? [] }
  /** The usable endpoints of a service, and whether any is brittle: then requests need a slot at all of them. */
  findUsable (service: ServiceName, at: number): UsableEndpoints { return this.#findSnapshot(service, at) }

  /** Composes the load report of this box for its hub. */
  composeLoad (at: number): BoxLoad {
    const loads = []
    const gaps: EngineGap[] = []
    const prompts: PromptReport[] = []
    for (const view of this.#views.all) {
      const load = view.composeLoad(at, this.#findMinTolerantPauseAt(view, at))
      if (load !== null) loads.push(load)
      prompts.push(...view.listPromptReports(at))
      if (view.ownGapMs !== null) gaps.push([view.id, Math.round(view.ownGapMs * 10) / 10])
    }
    const demands = [...this.#services.values()].map(state => this.#composeDemand(state, at)).filter(demand => hasDemand(demand, this.contention.isOn))
    return { loads, demands, gaps, prompts }
  }

  /**
   * Chooses an untried endpoint. `draw`, from 0 up to 1, breaks ties; `waitedMs` is how long the request has
   * waited in this box. A `filter` takes precedence over all other criteria, unless it is a restriction.
   */
  choose (work: RequestProfile, tried: readonly EndpointId[], at: number, draw: number, waitedMs = 0, filter: EndpointFilter | null = null): Choice | NoChoice {
    const all = this.#byService.get(work.service) ?? []
    const { usable } = this.#findSnapshot(work.service, at)
    const untried = filterViews(usable.filter(view => !tried.includes(view.id)), filter)
    if (untried.length === 0) return all.length === 0 ? 'none-known' : 'none-usable'
    const left = untried.filter(view => isOpen(view, work, at))
    if (left.length === 0) return 'closed'
    const context = this.#composeContext(work.service, at)
    if (work.cost === null && context === null && this.contention.isOn) return this.plain.choose(left, work, { boxContext: this.#boxContext, sharers: this.#others.countUnreportedBoxes(at), waitedMs, at, draw })
    if (work.cost === null || context === null) return choosePlain(left, this.#boxContext, this.plain.isLastSend(work), at, draw)
    const others = this.contention.isOn ? { ageMs: this.#others.measureAge(at), countUnreportedTokens: (isTolerant: boolean) => this.#others.estimateUnreportedTokens(work.service, isTolerant, at) } : null
    return placeOnEngine({ context, work, cost: work.cost, tried, left, filter, waitedMs, boxContext: this.#boxContext, pauseLimits: this.#pauses.findLimits(context.state, at), others }, at, draw)
  }

  /** Describes the current state of each service's engines, for the log. */
  describe (at: number): { readonly service: ServiceName, readonly text: string }[] {
    return describeServices(this.#services, this.#byService, (state, views) => {
      const dedicationOrder = listDedicationOrder(views, this.contention)
      return {
        state,
        dedicationOrder,
        counts: this.#agreeDedicatedCount(state, dedicationOrder, at),
        readingPauseMs: this.#pauses.findReading(state, at),
        minTolerantPauseMs: this.#pauses.findMinTolerant(state, at),
        queuedTokens: this.#countQueuedTokens(state, Infinity)
      }
    }, at)
  }

  /** Notes that a request was sent to an engine. */
  noteStarted (work: RequestProfile, at: number): void { this.#services.get(work.service)?.kinds.noteStarted(work.level, at) }

  /** Notes that a request starts or stops waiting in this box. */
  noteQueued (work: RequestProfile, isQueued: boolean): void {
    if (work.cost === null) this.plain.noteQueued(work, isQueued)
    const state = this.#services.get(work.service)
    if (state !== undefined) noteQueuedTokens(state, work, isQueued)
  }

  /** Number of boxes, including this one, that queue requests of the service at least as urgent as `priority`. */
  countHolders (service: ServiceName, priority: number): number {
    const own = (this.#services.get(service)?.held.size ?? 0) > 0 ? 1 : 0
    return own + this.#others.countHolders(service, priority)
  }

  /** Number of engines of a service that are dedicated to long prompts, as last agreed. */
  countDedicated (service: ServiceName): number {
    return Math.max(this.#services.get(service)?.dedicatedCount.counts.count ?? 0, this.#others.find(service)?.apart ?? 0)
  }

  /** Decides whether to admit a request; returns null if no decision is needed: for a plain service with enough capacity, or engines that are not congested for the request. */
  admit (work: RequestProfile, at: number): Admission | null {
    const context = this.#composeContext(work.service, at)
    const shares = this.#composeShares(this.#services.get(work.service), at)
    if (context === null) {
      const admission = admitPlain(shares, work, at)
      if ((admission?.workspaceShare?.fraction ?? 1) < 1) this.plain.noteOverShare(work)
      return admission
    }
    return work.cost === null ? null : admitToEngines(context, work, work.cost, findShare(shares, work, at), at)
  }

  // Returns null while the capacity is not to be divided among workspaces.
  #composeShares (state: ServiceState | undefined, at: number): ShareContext | null {
    if (state === undefined || !this.contention.isOn) return null
    const { name } = state.service
    const context = this.#composeContext(name, at)
    return { state, usable: this.listUsable(name, at), others: this.#others.find(name), freshness: this.#others.findFreshness(at), measureEngines: context === null ? null : boxes => measureCapacity(context, at, boxes) }
  }

  #composeDemand (state: ServiceState, at: number): ServiceDemand {
    const { reported: boxCpu, isOn } = this.contention
    const extra = isOn ? { ...composeOutcomes(this.#byService.get(state.service.name) ?? [], at), ...this.plain.composeKept(this.#byService.get(state.service.name), at), ...this.returns.compose(state.service.name, at), ...composeShareReport(this.#composeShares(state, at), at) } : {}
    return { ...composeDemand(state, at), ...(boxCpu === undefined ? {} : { boxCpu }), ...extra }
  }

  #measureReturnRates (service: ServiceName, at: number): ReturnRates {
    const state = this.#services.get(service)
    return state === undefined ? noRates : measureReturnRates(state, this.#findSnapshot(service, at).usable, this.#others.find(service), this.#others.countUnreportedBoxes(at), this.#others.count, at)
  }

  // Returns null for an unknown service and for one without an engine profile.
  #composeContext (service: ServiceName, at: number): AdmissionContext | null {
    const state = this.#services.get(service)
    if (state?.service.engine == null) return null
    const { engine } = state.service
    return {
      state,
      engine,
      snapshot: this.#findSnapshot(service, at),
      others: this.#others.find(service),
      sharers: this.#others.countUnreportedBoxes(at),
      reservedFrom: this.contention.isOn ? state.dedicatedCount.maxDedicated : null,
      minTolerantPauseMs: this.#pauses.findMinTolerant(state, at),
      listHolders: cost => this.#listHolders(cost, engine.transfer, at, service)
    }
  }

  #listHolders (cost: PromptCost, transfer: PromptTransfer | null, at: number, service: ServiceName): PromptHolder[] {
    return transfer === null ? [] : listHolders(listTransferSources(this.#findSnapshot(service, at).usable, this.zones, at), cost)
  }

  /** Records the arrival of a request, for the demand meters. */
  noteArrival (work: RequestProfile, at: number): void {
    const state = this.#services.get(work.service)
    if (work.cost === null && this.contention.isOn) this.plain.noteArrival(work, at)
    if (state === undefined) return
    noteArrival(state, work, { isTolerant: () => isPauseTolerant(work, this.#pauses.findMinTolerant(state, at)), isContended: this.contention.isOn }, at)
  }

  #findMinTolerantPauseAt (view: EndpointView, at: number): number {
    const state = this.#services.get(view.record.service)
    return state === undefined ? 0 : this.#pauses.findMinTolerant(state, at)
  }

  #regroup (): void {
    this.#byService = groupByService(this.#views.all)
    this.#snapshots.clear()
  }

  #createView (record: EndpointRecord): EndpointView {
    const state = this.#services.get(record.service)
    const view = new EndpointView(record, state?.service.engine?.memoryTokens ?? 0, state ?? createEngineStats(), this.#gates.find(record))
    this.#reportedPrompts.note(view)
    return view
  }

  // The usable endpoints and which of them are dedicated, at most `snapshotTtlMs` old.
  #findSnapshot (service: ServiceName, at: number): ServiceSnapshot {
    const known = this.#snapshots.get(service)
    if (known !== undefined && at - known.at < snapshotTtlMs) return known
    const ready = (this.#byService.get(service) ?? []).filter(view => view.record.stage === 'ready' && !view.gate.isLeaving)
    const usable = listUsable(ready, at)
    const state = this.#services.get(service)
    const dedicationOrder = state?.service.engine == null ? [] : listDedicationOrder(usable, this.contention)
    const counts = state === undefined || dedicationOrder.length === 0 ? noneDedicated : this.#agreeDedicatedCount(state, dedicationOrder, at)
    const snapshot: ServiceSnapshot = { at, usable, isBrittle: usable.some(({ gate }) => gate.isBrittle), dedicationOrder, counts, overloadedLevel: null, kindShares: null }
    this.#snapshots.set(service, snapshot)
    return snapshot
  }

  #agreeDedicatedCount (state: ServiceState, dedicationOrder: readonly EndpointView[], at: number): ServiceSnapshot['counts'] {
    return agreeDedicatedCount(state, this.#others.find(state.service.name), dedicationOrder, this.contention.isOn, at)
  }

  #countQueuedTokens (state: ServiceState, priority: number): number {
    return countQueuedTokens(state, this.#others.find(state.service.name), priority)
  }
}
