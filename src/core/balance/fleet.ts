/**
 * The endpoints as one box believes them to be, and the choice among them. Each
 * box decides alone, on its own work and on what the others last told of
 * theirs. Where all boxes must agree (which engines are set apart for long
 * prompts, which of them holds a shared prompt) they do so by the same hash.
 */
import { chooseByHash, hashText } from '../hash.js'
import type { BoxId, EndpointId, ServiceName, ZoneName } from '../ids.js'
import type { RoutedService } from '../routes/index.js'
import { RunningQuantile, findMiddle } from './average.js'
import { DemandMeter } from './demand-meter.js'
import type { EndpointRecord } from './endpoint-record.js'
import { EndpointView } from './endpoint-view.js'
import type { BoxLoad, EngineGap } from './load-word.js'
import { ReadingShare } from './reading-share.js'
import type { ApartCount, ReadingDemand } from './reading-share.js'
import type { PromptCost, Work } from './work.js'
import { ZoneWatch } from './zone-watch.js'

/** A choice, with what decided it, for the log. */
export interface Choice {
  readonly view: EndpointView
  /** Expected time to the answer, or to its first event, ms; what else counts against the endpoint included. */
  readonly expectedMs: number
  readonly readTokens: number
  /** True where all boxes send prompts with the same shared part to this engine. */
  readonly isHome: boolean
  readonly candidates: number
  /** Engines set apart for long prompts. */
  readonly share: number
}

/** Why there is no choice: the service has no endpoint at all, none that isn't out, or none that has room now. */
export type NoChoice = 'none-known' | 'none-usable' | 'later'

/** Time to read a prompt token before any was measured, ms: a middling engine of the users' days. */
const firstPaceMs = 0.024
/** Prompts of which all tokens ahead were known are read the fastest; they tell the pace. */
const paceQuantile = 0.3
/** Part by which samples move what is believed of a service's time per token. */
const paceStep = 0.05
/** Tokens that an engine reads at a time, between the tokens of what runs there. */
const pieceTokens = 1024
/** Time of a step of an engine without reading, ms. */
const stepMs = 4
/** A pause must be this many times longer than one beside a long prompt to count as long. */
const pauseMargin = 1.2
/** What an endpoint in another zone is worth less, ms: bytes between zones are priced. */
const otherZoneMs = 8
/** What a doubtful endpoint, or one in a zone that fell silent, is worth less, ms: about what a lost request costs. */
const doubtMs = 400
/** What each stream more slows the others, ms. */
const crowdMs = 0.4
/** What each request beyond the slots waits, ms: a slot comes free every so often. */
const queueMs = 60
/** What a request waits where memory is used up, ms. */
const memoryMs = 1500
/** Part of an engine's memory that requests in flight may be expected to take. */
const memoryLimit = 0.9
/** Part of the places of the other engines that is planned for. */
const plannedPlaces = 0.75
/** Part of the memory of engines set apart that is planned for. */
const plannedMemory = 0.75
/**
 * What reading a shared token again is worth, ms: an engine that holds a shared
 * prompt is waited for up to this much longer than another one. On the users'
 * sites reading 5,000 shared tokens again costs about what a late answer does.
 */
const rereadMs = 0.15
/** Part of the shared tokens that an engine is believed to hold of a prompt that all boxes send there. */
const homeShare = 0.7
/** An endpoint whose failures exceed the middle of its service's by so much is taken last. */
const worseShare = 0.25
/**
 * Reading that may wait at an engine, ms. An engine reads prompts in the order in
 * which they came, whatever their rank, so that what is less urgent waits here,
 * where it can be passed; so much keeps an engine busy until the next word.
 */
const backlogMs = 220
/** Part of its target that a request waits for the engine that holds its shared prompt, before it goes elsewhere. */
const homeWaitShare = 0.3
/** A request whose expected wait exceeds this part of its target, and so much, is refused at once, with a time to come back. */
const refuseShare = 0.8
const leastRefusedMs = 1000
/** Times to come back, ms: a burst lasts some seconds. */
const leastReturnMs = 300
const mostReturnMs = 5000
/** An engine whose events come so many times slower than those of the middle one is of a slower kind, until they come nearer again. */
const slowTimes = 1.16
const nearTimes = 1.08
/** One that is slower than this is in trouble rather than of a slower kind. */
const troubledTimes = 2
/** Fewer engines of known speed than this have no middle to speak of. */
const leastKnownSpeeds = 3
/** Bounds on how much slower an engine is believed to be than the middle one. */
const leastSlowness = 0.85
const mostSlowness = 10
/** At least this part of a service's endpoints is used, however often their answers break. */
const leastUsed = 0.6
/** A zone counts as cut off after so long without a word, ms: three words of the slowest peer. */
const zoneSilentMs = 800

interface ServiceState {
  readonly service: RoutedService
  readonly share: ReadingShare
  readonly pace: RunningQuantile
  readonly patient: DemandMeter
  readonly brisk: DemandMeter
  /** Tokens of requests that wait in this box, by priority. */
  readonly held: Map<number, number>
}

export class Fleet {
  readonly zones: ZoneWatch
  #zone: ZoneName
  #services = new Map<ServiceName, ServiceState>()
  #views = new Map<EndpointId, EndpointView>()
  #byService = new Map<ServiceName, EndpointView[]>()
  #peers = new Map<BoxId, BoxLoad>()

  constructor (zone: ZoneName) {
    this.#zone = zone
    this.zones = new ZoneWatch(zone, zoneSilentMs)
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
    this.#services = states
  }

  /** Takes in newer records of the directory. */
  applyRecords (records: readonly EndpointRecord[]): void {
    for (const record of records) {
      const known = this.#views.get(record.id)
      if (record.stage === 'gone' || record.stage === 'lost') this.#views.delete(record.id)
      else if (known !== undefined) known.record = record
      else this.#views.set(record.id, this.#createView(record))
    }
    this.#byService = groupByService(this.#views.values())
  }

  /** Takes in what a peer has at the endpoints. */
  notePeer (box: BoxId, load: BoxLoad): void {
    const before = this.#peers.get(box)
    this.#peers.set(box, load)
    const told = new Set<EndpointId>()
    for (const one of load.loads) {
      told.add(one.endpoint)
      this.#views.get(one.endpoint)?.notePeer(box, one)
    }
    for (const [endpoint, gapMs] of load.gaps) this.#views.get(endpoint)?.notePeerGap(box, gapMs)
    for (const one of before?.loads ?? []) if (!told.has(one.endpoint)) this.#views.get(one.endpoint)?.dropPeer(box)
  }

  /** Forgets a peer that has fallen silent. */
  dropPeer (box: BoxId): void {
    for (const one of this.#peers.get(box)?.loads ?? []) this.#views.get(one.endpoint)?.dropPeer(box)
    this.#peers.delete(box)
  }

  /** What this box tells its peers. */
  composeLoad (at: number): BoxLoad {
    const loads = []
    const gaps: EngineGap[] = []
    for (const view of this.#views.values()) {
      const load = view.composeLoad(at)
      if (load !== null) loads.push(load)
      if (view.ownGapMs !== null) gaps.push([view.id, Math.round(view.ownGapMs * 10) / 10])
    }
    const demands = []
    for (const [service, { patient, brisk, share, held }] of this.#services) {
      const demand = { service, patient: Math.round(patient.rate(at)), brisk: Math.round(brisk.rate(at)), apart: share.counts.count, base: share.counts.base, held: [...held] }
      if (demand.patient > 0 || demand.brisk > 0) demands.push(demand)
    }
    return { loads, demands, gaps }
  }

  /**
   * Chooses an endpoint that wasn't tried yet. `draw`, from 0 up to 1, parts
   * those that are alike; `waitedMs` is how long the request has waited here.
   */
  choose (work: Work, tried: readonly EndpointId[], at: number, draw: number, waitedMs = 0): Choice | NoChoice {
    const all = this.#byService.get(work.service) ?? []
    const ready = all.filter(view => view.record.stage === 'ready' && !tried.includes(view.id))
    if (ready.length === 0) return all.length === 0 ? 'none-known' : 'none-usable'
    const usable = listUsable(ready, at)
    if (usable.length === 0) return 'none-usable'
    const state = this.#services.get(work.service)
    const engine = state?.service.engine ?? null
    if (work.cost === null || engine === null || state === undefined) return this.#choosePlain(usable, at, draw)
    const count = this.#agreeShare(state, usable, at)
    const apart = listApart(usable)
    const patient = this.#isPatient(work, state)
    const side = patient ? apart.slice(0, count.count) : apart.slice(count.count)
    const homes = patient ? apart.slice(0, count.base) : side
    const choice = this.#chooseEngine(side.length > 0 ? side : usable, homes, work, work.cost, state, count.count, at, draw, waitedMs)
    return patient && !this.#hasRoom(choice.view, work.cost, state, at) ? 'later' : choice
  }

  /** What is believed of each service's engines at present, in words, for the log. */
  describe (at: number): { readonly service: ServiceName, readonly text: string }[] {
    const told = []
    for (const [name, state] of this.#services) {
      const views = this.#byService.get(name) ?? []
      if (state.service.engine === null || views.length === 0) continue
      const { count, base } = this.#agreeShare(state, views, at)
      const engines = listApart(views).map((view, i) => `${view.id}${i < count ? '*' : ''}/${view.running}/${Math.round(view.countAhead(Infinity, at))}/${view.paceMs.toFixed(4)}/${view.gapMs?.toFixed(1) ?? '-'}/${view.trust.look(at)}`)
      told.push({ service: name, text: `apart=${count} base=${base} own=${state.share.counts.count} pace=${state.pace.value.toFixed(4)} held=${this.#countHeld(state, Infinity)} ${engines.join(' ')}` })
    }
    return told
  }

  /** Notes that a request waits in this box, or waits no more. */
  noteHeld (work: Work, isHeld: boolean): void {
    const held = this.#services.get(work.service)?.held
    if (held === undefined || work.cost === null) return
    const tokens = (held.get(work.priority) ?? 0) + (isHeld ? 1 : -1) * countExpected(work.cost)
    if (tokens > 0) held.set(work.priority, tokens)
    else held.delete(work.priority)
  }

  /** Boxes, this one included, in which requests of the service wait. */
  countHolders (service: ServiceName): number {
    let holders = (this.#services.get(service)?.held.size ?? 0) > 0 ? 1 : 0
    for (const peer of this.#peers.values()) {
      if (peer.demands.some(demand => demand.service === service && demand.held.length > 0)) holders += 1
    }
    return holders
  }

  /** When a request had better come back, ms, as too much waits before it; null where it is taken. */
  findReturn (work: Work, at: number): number | null {
    const state = this.#services.get(work.service)
    if (state?.service.engine == null || work.cost === null || !this.#isPatient(work, state)) return null
    const usable = listUsable((this.#byService.get(work.service) ?? []).filter(view => view.record.stage === 'ready'), at)
    const side = listApart(usable).slice(0, Math.max(1, this.#agreeShare(state, usable, at).count))
    let tokens = this.#countHeld(state, work.priority)
    let rate = 0
    for (const view of side) {
      tokens += view.countBefore(work.priority, at)
      rate += 1 / view.paceMs
    }
    const waitMs = rate === 0 ? 0 : tokens / rate
    if (waitMs < Math.max(leastRefusedMs, work.targetMs * refuseShare)) return null
    return Math.min(mostReturnMs, Math.max(leastReturnMs, waitMs))
  }

  /** Notes that a request arrived, for the measure of demand. */
  noteArrival (work: Work, at: number): void {
    const state = this.#services.get(work.service)
    if (state?.service.engine == null || work.cost === null) return
    const meter = this.#isPatient(work, state) ? state.patient : state.brisk
    meter.add(at, countExpected(work.cost))
  }

  #isPatient (work: Work, state: ServiceState): boolean {
    return isPatient(work, state.service.engine?.tokensPerEvent ?? 1, state.pace.value)
  }

  #hasRoom (view: EndpointView, cost: PromptCost, state: ServiceState, at: number): boolean {
    const { engine } = state.service
    if (engine === null) return true
    if (view.running >= engine.slots) return false
    if (view.running > 0 && view.memoryInUse + cost.promptTokens > engine.memoryTokens * memoryLimit) return false
    return view.countAhead(Infinity, at) * view.paceMs <= backlogMs
  }

  // Tokens that wait in the boxes, of requests that go before one of this priority.
  #countHeld (state: ServiceState, priority: number): number {
    let tokens = 0
    for (const [theirs, held] of state.held) if (theirs <= priority) tokens += held
    for (const peer of this.#peers.values()) {
      for (const demand of peer.demands) {
        if (demand.service !== state.service.name) continue
        for (const [theirs, held] of demand.held) if (theirs <= priority) tokens += held
      }
    }
    return tokens
  }

  #createView (record: EndpointRecord): EndpointView {
    const state = this.#services.get(record.service)
    return new EndpointView(record, state?.service.engine?.memoryTokens ?? 0, state?.pace ?? createPace())
  }

  // The largest share that any box would have: all must send long prompts to the same engines.
  #agreeShare (state: ServiceState, engines: readonly EndpointView[], at: number): ApartCount {
    let { count, base } = state.share.update(at, this.#measureDemand(state, engines, at))
    for (const peer of this.#peers.values()) {
      for (const demand of peer.demands) {
        if (demand.service !== state.service.name) continue
        count = Math.max(count, demand.apart)
        base = Math.max(base, demand.base)
      }
    }
    const most = Math.max(1, engines.length - 1)
    return { count: Math.min(count, most), base: Math.min(base, count, most) }
  }

  #measureDemand (state: ServiceState, engines: readonly EndpointView[], at: number): ReadingDemand {
    const { service } = state
    let patientRate = state.patient.rate(at)
    let briskRate = state.brisk.rate(at)
    for (const peer of this.#peers.values()) {
      for (const demand of peer.demands) {
        if (demand.service !== service.name) continue
        patientRate += demand.patient
        briskRate += demand.brisk
      }
    }
    let waiting = this.#countHeld(state, Infinity)
    let memory = 0
    const apart = listApart(engines)
    const { count } = state.share.counts
    for (const view of apart.slice(0, count)) {
      waiting += view.countAhead(Infinity, at)
      memory += view.memoryInUse
    }
    const brisk = apart.slice(count).reduce((sum, view) => sum + view.running, 0)
    const slots = service.engine?.slots ?? Infinity
    return {
      rates: apart.map(view => 1000 / view.paceMs),
      patientRate,
      briskRate,
      waiting,
      patientEngines: memory / ((service.engine?.memoryTokens ?? Infinity) * plannedMemory),
      briskEngines: brisk / (slots * plannedPlaces)
    }
  }

  #choosePlain (usable: readonly EndpointView[], at: number, draw: number): Choice {
    const middle = findMiddleFailures(usable)
    const rate = (view: EndpointView): number => {
      const { slots } = view.record
      const running = view.running
      const queued = Math.max(0, running + 1 - slots) / Math.max(1, slots)
      return view.answerMs.value * (1 + queued + 0.5 * running / Math.max(1, slots)) + this.#weighTrust(view, middle, at)
    }
    return pickLeast(usable, rate, () => 0, 0, draw)
  }

  #chooseEngine (side: readonly EndpointView[], homes: readonly EndpointView[], work: Work, cost: PromptCost, state: ServiceState, share: number, at: number, draw: number, waitedMs: number): Choice {
    const home = findHome(cost, homes)
    const middle = findMiddleFailures(side)
    const slots = state.service.engine?.slots ?? 1
    const memory = (state.service.engine?.memoryTokens ?? Infinity) * memoryLimit
    const shared = countShared(cost)
    const patience = Math.max(0, 1 - waitedMs / (work.targetMs * homeWaitShare))
    const countRead = (view: EndpointView): number => expectRead(view, cost, view.id === home)
    const rate = (view: EndpointView): number => {
      const running = view.running
      const read = countRead(view)
      const ms = (view.countAhead(work.priority, at) + read) * view.paceMs + running * crowdMs
      const again = Math.max(0, read - (cost.promptTokens - shared)) * rereadMs * patience
      const queued = Math.max(0, running + 1 - slots) * queueMs
      const short = view.memoryInUse + cost.promptTokens > memory ? memoryMs : 0
      return ms + again + queued + short + this.#weighTrust(view, middle, at)
    }
    return pickLeast(side, rate, countRead, share, draw, home)
  }

  #weighTrust (view: EndpointView, middle: number, at: number): number {
    const zone = view.record.zone
    let ms = zone === this.#zone ? 0 : otherZoneMs
    if (this.zones.isCut(zone, at)) ms += doubtMs
    if (view.trust.look(at) !== 'good') ms += doubtMs
    if (view.trust.failureShare > middle + worseShare) ms += doubtMs
    return ms + Math.max(0, view.measureOverdue(at))
  }
}

function createPace (): RunningQuantile {
  return new RunningQuantile(firstPaceMs, paceQuantile, paceStep)
}

function createState (service: RoutedService): ServiceState {
  return { service, share: new ReadingShare(), pace: createPace(), patient: new DemandMeter(), brisk: new DemandMeter(), held: new Map() }
}

function groupByService (views: Iterable<EndpointView>): Map<ServiceName, EndpointView[]> {
  const groups = new Map<ServiceName, EndpointView[]>()
  for (const view of views) {
    const group = groups.get(view.record.service)
    if (group === undefined) groups.set(view.record.service, [view])
    else group.push(view)
  }
  return groups
}

/** True where a request's pauses stay in time even beside a prompt that is being read. */
export function isPatient (work: Work, tokensPerEvent: number, paceMs: number): boolean {
  const besideReadingMs = tokensPerEvent * (pieceTokens * paceMs + stepMs)
  return work.pauseMs === null || work.pauseMs >= besideReadingMs * pauseMargin
}

// Endpoints that aren't out. Where most are out for broken answers, the fault is
// of the service rather than of some of them: those are used all the same.
function listUsable (ready: readonly EndpointView[], at: number): EndpointView[] {
  const reachable = ready.filter(view => view.trust.isReachable)
  const good = reachable.filter(view => view.trust.look(at) !== 'out')
  return good.length >= ready.length * leastUsed ? good : reachable
}

// The order in which engines are set apart, the same at every box: those of a
// slower kind first, as beside their reading no pause is short; of each kind one
// of each zone in turn, by a hash.
function listApart (engines: readonly EndpointView[]): EndpointView[] {
  setSlowness(engines)
  const ranked = [...engines].sort((a, b) => hashText(a.id) - hashText(b.id))
  const perZone = new Map<string, number>()
  const turns = ranked.map(view => {
    const kind = view.isSlow ? 0 : 1
    const key = `${kind} ${view.record.zone}`
    const turn = perZone.get(key) ?? 0
    perZone.set(key, turn + 1)
    return { view, kind, turn }
  })
  turns.sort((a, b) => a.kind - b.kind || a.turn - b.turn)
  return turns.map(one => one.view)
}

// Compares the engines' speeds with their middle one's.
function setSlowness (engines: readonly EndpointView[]): void {
  const gaps = engines.map(view => view.gapMs)
  const known = gaps.filter(gap => gap !== null)
  const middle = known.length < leastKnownSpeeds ? null : findMiddle(known)
  engines.forEach((view, i) => {
    const gap = gaps[i]
    view.slowness = gap === null || middle === null ? 1 : Math.min(mostSlowness, Math.max(leastSlowness, gap / middle))
    view.isSlow = view.slowness < troubledTimes && view.slowness > (view.isSlow ? nearTimes : slowTimes)
  })
}

// Tokens that are expected to be read for a prompt, wherever it goes.
function countExpected (cost: PromptCost): number {
  return Math.round(cost.promptTokens - countShared(cost) * homeShare)
}

function countShared (cost: PromptCost): number {
  let tokens = 0
  for (let i = 0; i + 1 < cost.parts.length; i++) tokens += cost.parts[i].tokens
  return tokens
}

// The engine to which all boxes send prompts that share their longest part.
function findHome (cost: PromptCost, engines: readonly EndpointView[]): EndpointId | undefined {
  const shared = cost.parts.at(-2)
  return shared === undefined ? undefined : chooseByHash(shared.id, engines.map(view => view.id))
}

function expectRead (view: EndpointView, cost: PromptCost, isHome: boolean): number {
  const held = view.prompts.countHeld(cost.parts)
  return cost.promptTokens - Math.max(held, isHome ? countShared(cost) * homeShare : 0)
}

function findMiddleFailures (views: readonly EndpointView[]): number {
  return findMiddle(views.map(view => view.trust.failureShare)) ?? 0
}

/** Endpoints that differ by less are alike, ms: less than a word between boxes takes. */
const alikeMs = 3

function pickLeast (views: readonly EndpointView[], rate: (view: EndpointView) => number, countRead: (view: EndpointView) => number, share: number, draw: number, home?: EndpointId): Choice {
  const rated = views.map(view => ({ view, ms: rate(view) }))
  const least = rated.reduce((ms, one) => Math.min(ms, one.ms), Infinity)
  const alike = rated.filter(one => one.ms <= least + alikeMs)
  const { view, ms } = alike[Math.floor(draw * alike.length)]
  return { view, expectedMs: ms, readTokens: countRead(view), isHome: view.id === home, candidates: views.length, share }
}
