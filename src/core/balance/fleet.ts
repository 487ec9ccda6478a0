/**
 * The endpoints as one box believes them to be, and the choice among them. Each
 * box decides alone, on its own work and on what its hub last told of the
 * others'. Where all boxes must agree (which engines are set apart for long
 * prompts, which of them holds a shared prompt) they do so by the same hash.
 */
import type { EndpointId, ServiceName, ZoneName } from '../ids.js'
import type { EndpointNotice } from '../limits/index.js'
import type { PromptTransfer, RoutedService } from '../routes/index.js'
import type { Admission } from './admission.js'
import { agreeShare, countHeld } from './agreed-share.js'
import type { Choice, NoChoice } from './choice.js'
import { chooseEngine, choosePlain } from './choose-endpoint.js'
import { describeService } from './describe-service.js'
import { isOtherLife } from './endpoint-directory.js'
import { GateBook } from './endpoint-gate.js'
import type { EndpointRecord } from './endpoint-record.js'
import { EndpointView } from './endpoint-view.js'
import { hasRoom } from './endpoint-weights.js'
import type { PromptCase, Standpoint } from './endpoint-weights.js'
import { createLearning } from './engine-learning.js'
import { listApart } from './engines-apart.js'
import { HeldPrompts, notePrompt } from './held-prompts.js'
import { KnownOthers } from './known-others.js'
import type { BoxLoad, EngineGap, LoadTotals, ReadPrompt } from './load-word.js'
import { narrowViews } from './narrowing.js'
import type { Narrowing } from './narrowing.js'
import { noneApart, outlookMs } from './outlook.js'
import type { Outlook } from './outlook.js'
import { listHolders } from './prompt-plan.js'
import type { PromptHolder } from './prompt-plan.js'
import { countExpected, findPatience, guessPause, isPatient } from './prompt-reading.js'
import type { ApartCount } from './reading-share.js'
import { admitToEngines, findPressed, listImmediateEngines } from './service-admission.js'
import type { AdmissionContext } from './service-admission.js'
import { composeDemand, createState } from './service-state.js'
import type { ServiceState } from './service-state.js'
import { groupByService, isOpen, listSources, listUsable } from './usable-endpoints.js'
import type { PromptCost, Work } from './work.js'
import { ZoneWatch } from './zone-watch.js'

/** A zone counts as cut off after so long without a word, ms: two heartbeats of a registry there, or some totals that name it. */
const zoneSilentMs = 800

export class Fleet {
  readonly zones: ZoneWatch
  #standpoint: Standpoint
  #services = new Map<ServiceName, ServiceState>()
  #views = new Map<EndpointId, EndpointView>()
  #byService = new Map<ServiceName, EndpointView[]>()
  #others = new KnownOthers()
  #heldPrompts = new HeldPrompts()
  #outlooks = new Map<ServiceName, Outlook>()
  #gates: GateBook

  /** `isConnected`: whether a connection to an endpoint is open and at rest; `findNotice`: what one has said of itself. */
  constructor (zone: ZoneName, isConnected: (view: EndpointView) => boolean = () => true, findNotice: (id: EndpointId) => EndpointNotice | undefined = () => undefined) {
    this.#gates = new GateBook(findNotice)
    this.zones = new ZoneWatch(zone, zoneSilentMs)
    this.#standpoint = { zone, zones: this.zones, isConnected }
  }

  get views (): IterableIterator<EndpointView> { return this.#views.values() }
  findView (id: EndpointId): EndpointView | undefined { return this.#views.get(id) }

  /** Takes over the services of a new document; what was learned of those that stay is kept. */
  configure (services: readonly RoutedService[]): void {
    const states = new Map<ServiceName, ServiceState>()
    for (const service of services) {
      const known = this.#services.get(service.name)
      states.set(service.name, known === undefined ? createState(service) : { ...known, service })
    }
    const renewed = [...this.#views.values()].filter(({ record: { service } }) => states.has(service) && !this.#services.has(service))
    this.#services = states
    // Records may come before the document that says what their endpoints are.
    for (const { id, record } of renewed) this.#views.set(id, this.#createView(record))
    this.#regroup()
  }

  /** Takes in newer records of the directory. */
  applyRecords (records: readonly EndpointRecord[]): void {
    for (const record of records) {
      const known = this.#views.get(record.id)
      const isOver = record.stage === 'gone' || record.stage === 'lost'
      const isNewLife = known !== undefined && isOtherLife(record, known.record)
      // A new life holds and has nothing of the one before it.
      if (isOver || isNewLife) this.#forget(record)
      if (isOver) continue
      if (known !== undefined && !isNewLife) known.record = record
      else this.#views.set(record.id, this.#createView(record))
    }
    this.#regroup()
  }

  /** True where an endpoint's view is that of an earlier life. */
  hasStartedAgain (view: EndpointView): boolean { return (this.#views.get(view.id) ?? view) !== view }

  /** Takes in which prompts engines hold; also of engines that are known only later. */
  notePrompts (prompts: readonly ReadPrompt[]): void {
    for (const endpoint of this.#heldPrompts.take(prompts)) {
      const view = this.#views.get(endpoint)
      if (view !== undefined) this.#heldPrompts.note(view)
    }
  }

  /** Takes in what endpoints say of themselves; also of endpoints that are known only later. */
  applyNotices (notices: readonly EndpointNotice[]): void {
    for (const notice of notices) {
      const view = this.#views.get(notice.endpoint)
      if (view?.record.born !== notice.born) continue
      view.gate.setNotice(notice)
      this.#outlooks.delete(view.record.service)
    }
  }

  /** When an endpoint that wasn't tried takes a request again; in the past where one does now, Infinity where none is known to. */
  findOpening (work: Work, tried: readonly EndpointId[], at: number): number {
    const untried = this.#look(work.service, at).usable.filter(view => !tried.includes(view.id))
    return Math.min(Infinity, ...untried.map(({ gate }) => gate.findOpening(work.priority, at)))
  }

  /** Requests a second that the endpoints of a service take from all boxes together; Infinity where one names no limit. */
  sumLimits (service: ServiceName, at: number): number {
    return this.#look(service, at).usable.reduce((sum, { gate }) => sum + (gate.limit ?? Infinity), 0)
  }

  /** Takes in what the other boxes have; `noTotals` where no hub is heard. */
  noteOthers (others: LoadTotals, at: number): void {
    const loads = new Map(others.loads.map(load => [load.endpoint, load]))
    for (const view of this.#views.values()) view.noteOthers(loads.get(view.id) ?? null)
    for (const [endpoint, gapMs] of others.gaps) this.#views.get(endpoint)?.noteGapOfAll(gapMs)
    this.#others.note(others, at)
    for (const prompt of others.prompts) {
      const view = this.#views.get(prompt[0])
      if (view !== undefined) notePrompt(view, prompt)
    }
    for (const zone of others.zones) this.zones.noteHeard(zone, at)
  }

  /** Takes how many boxes there are, this one included. */
  noteBoxes (count: number): void { this.#others.noteBoxes(count) }

  /** Endpoints of a service that may be used now. */
  listUsable (service: ServiceName, at: number): readonly EndpointView[] { return this.#look(service, at).usable }

  /** What this box tells its hub. */
  composeLoad (at: number): BoxLoad {
    const loads = []
    const gaps: EngineGap[] = []
    const prompts: ReadPrompt[] = []
    for (const view of this.#views.values()) {
      const load = view.composeLoad(at, this.#findPatienceAt(view, at))
      if (load !== null) loads.push(load)
      prompts.push(...view.listTold(at))
      if (view.ownGapMs !== null) gaps.push([view.id, Math.round(view.ownGapMs * 10) / 10])
    }
    const demands = [...this.#services.values()].map(state => composeDemand(state, at)).filter(({ patient, brisk, readingPauseMs }) => patient > 0 || brisk > 0 || readingPauseMs !== null)
    return { loads, demands, gaps, prompts }
  }

  /**
   * Chooses an endpoint that wasn't tried yet. `draw`, from 0 up to 1, parts
   * those that are alike; `waitedMs` is how long the request has waited here.
   * A `narrowing` goes before all else.
   */
  choose (work: Work, tried: readonly EndpointId[], at: number, draw: number, waitedMs = 0, narrowing: Narrowing | null = null): Choice | NoChoice {
    const all = this.#byService.get(work.service) ?? []
    const { usable, apart, counts } = this.#look(work.service, at)
    const untried = narrowViews(usable.filter(view => !tried.includes(view.id)), narrowing)
    if (untried.length === 0) return all.length === 0 ? 'none-known' : 'none-usable'
    const left = untried.filter(view => isOpen(view, work, at))
    if (left.length === 0) return 'closed'
    const context = this.#composeContext(work.service, at)
    if (work.cost === null || context === null) return choosePlain(left, this.#standpoint, at, draw)
    const { engine, patienceMs } = context
    const patient = isPatient(work, patienceMs)
    if (patient && waitedMs < work.targetMs && findPressed(context, at) < work.level) return 'later'
    const parted = (patient ? apart.slice(0, counts.count) : listImmediateEngines(context, work.targetMs, at)).filter(view => !tried.includes(view.id) && isOpen(view, work, at))
    const side = narrowing === null ? parted : left
    const homes = patient && narrowing === null ? apart.slice(0, counts.base) : side
    const prompt: PromptCase = { work, cost: work.cost, engine, waitedMs, patienceMs, isPatient: patient }
    const holders = this.#listHolders(work.cost, engine.transfer, at, work.service)
    const choice = chooseEngine({ side: side.length > 0 ? side : left, homes, holders, prompt, share: counts.count, from: this.#standpoint }, at, draw)
    return patient && !hasRoom(choice.view, work.cost, engine, this.#others.countUnheard(at), at) ? 'later' : choice
  }

  /** What is believed of each service's engines at present, for the log. */
  describe (at: number): { readonly service: ServiceName, readonly text: string }[] {
    const told = []
    for (const [name, state] of this.#services) {
      const views = this.#byService.get(name) ?? []
      if (state.service.engine === null || views.length === 0) continue
      const apart = listApart(views)
      const text = describeService({
        state,
        apart,
        counts: this.#agreeShare(state, apart, at),
        readingPauseMs: this.#findReadingPause(state, at),
        patienceMs: this.#findPatience(state, at),
        heldTokens: this.#countHeld(state, Infinity)
      }, at)
      told.push({ service: name, text })
    }
    return told
  }

  /** Notes the time between two events of a stream at an endpoint, ms. */
  noteGap (view: EndpointView, gapMs: number, at: number): void {
    if (this.#others.isWhole(at)) view.noteGap(gapMs, at)
  }

  /** Notes that a request was sent to an engine. */
  noteBegun (work: Work, at: number): void { this.#services.get(work.service)?.kinds.noteBegun(work.level, at) }

  /** Notes that a request waits in this box, or waits no more. */
  noteHeld (work: Work, isHeld: boolean): void {
    const held = this.#services.get(work.service)?.held
    if (held === undefined || work.cost === null) return
    const tokens = (held.get(work.priority) ?? 0) + (isHeld ? 1 : -1) * countExpected(work.cost)
    if (tokens > 0) held.set(work.priority, tokens)
    else held.delete(work.priority)
  }

  /** Boxes, this one included, in which requests of the service wait that don't go after one of this priority. */
  countHolders (service: ServiceName, priority: number): number {
    const own = (this.#services.get(service)?.held.size ?? 0) > 0 ? 1 : 0
    return own + this.#others.countHolders(service, priority)
  }

  /** Engines of a service that are set apart for long prompts, as last agreed. */
  countApart (service: ServiceName): number {
    return Math.max(this.#services.get(service)?.share.counts.count ?? 0, this.#others.find(service)?.apart ?? 0)
  }

  /** Decides whether to admit a request; returns null if no decision is needed: for a plain service, or engines that are not congested for the request. */
  admit (work: Work, at: number): Admission | null {
    const context = this.#composeContext(work.service, at)
    return context === null || work.cost === null ? null : admitToEngines(context, work, work.cost, at)
  }

  // Returns null for an unknown service and for one without an engine profile.
  #composeContext (service: ServiceName, at: number): AdmissionContext | null {
    const state = this.#services.get(service)
    if (state?.service.engine == null) return null
    const { engine } = state.service
    return {
      state,
      engine,
      outlook: this.#look(service, at),
      others: this.#others.find(service),
      sharers: this.#others.countUnheard(at),
      patienceMs: this.#findPatience(state, at),
      listHolders: cost => this.#listHolders(cost, engine.transfer, at, service)
    }
  }

  #listHolders (cost: PromptCost, transfer: PromptTransfer | null, at: number, service: ServiceName): PromptHolder[] {
    return transfer === null ? [] : listHolders(listSources(this.#look(service, at).usable, this.zones, at), cost)
  }

  /** Notes that a request arrived, for the measure of demand. */
  noteArrival (work: Work, at: number): void {
    const state = this.#services.get(work.service)
    if (state?.service.engine == null || work.cost === null) return
    if (work.pauseMs !== null) state.pauses.note(at, work.pauseMs)
    state.kinds.note(work, countExpected(work.cost), at)
    const meter = this.#isPatient(work, state, at) ? state.patient : state.brisk
    meter.add(at, countExpected(work.cost))
  }

  #isPatient (work: Pick<Work, 'pauseMs'>, state: ServiceState, at: number): boolean {
    return isPatient(work, this.#findPatience(state, at))
  }

  #findPatienceAt (view: EndpointView, at: number): number {
    const state = this.#services.get(view.record.service)
    return state === undefined ? 0 : this.#findPatience(state, at)
  }

  #findPatience (state: ServiceState, at: number): number {
    return findPatience(this.#findReadingPause(state, at), state.pauses.findLongest(at))
  }

  // All boxes go by the same pause where they hear of each other, as they must part requests alike.
  #findReadingPause (state: ServiceState, at: number): number {
    const { service, pace, readingPause } = state
    return this.#others.find(state.service.name)?.readingPauseMs ?? readingPause.find(at) ?? guessPause(service.engine?.tokensPerEvent ?? 1, pace.value)
  }

  #regroup (): void {
    this.#byService = groupByService(this.#views.values())
    this.#outlooks.clear()
  }

  #createView (record: EndpointRecord): EndpointView {
    const state = this.#services.get(record.service)
    const view = new EndpointView(record, state?.service.engine?.memoryTokens ?? 0, state ?? createLearning(), this.#gates.find(record))
    this.#heldPrompts.note(view)
    return view
  }

  #forget ({ id, stage }: EndpointRecord): void {
    this.#views.delete(id)
    if (stage === 'gone') this.#gates.forget(id)
    this.#heldPrompts.forget(id)
  }

  // The endpoints that may be used and how they are parted, as of some ms ago.
  #look (service: ServiceName, at: number): Outlook {
    const known = this.#outlooks.get(service)
    if (known !== undefined && at - known.at < outlookMs) return known
    const ready = (this.#byService.get(service) ?? []).filter(view => view.record.stage === 'ready' && !view.gate.isLeaving)
    const usable = listUsable(ready, at)
    const state = this.#services.get(service)
    const apart = state?.service.engine == null ? [] : listApart(usable)
    const counts = state === undefined || apart.length === 0 ? noneApart : this.#agreeShare(state, apart, at)
    const outlook: Outlook = { at, usable, apart, counts, pressed: null, kindShares: null }
    this.#outlooks.set(service, outlook)
    return outlook
  }

  // `apart`: the engines in the order in which they are set apart.
  #agreeShare (state: ServiceState, apart: readonly EndpointView[], at: number): ApartCount {
    return agreeShare(state, this.#others.find(state.service.name), apart, at)
  }

  // Tokens that wait in the boxes, of requests that go before one of this priority.
  #countHeld (state: ServiceState, priority: number): number {
    return countHeld(state, this.#others.find(state.service.name), priority)
  }
}
