/**
 * One soak run: the real programs under load while the drawn faults are applied.
 * It checks what callers and endpoints observe, and the recovery at the end. Faults
 * and their times follow from the seed; the timing of the processes does not.
 */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { createRandom } from '../runtime/index.js'
import { drawContention } from './contention-plan.js'
import { CrashCallers } from './crash-callers.js'
import type { CrashSummary } from './crash-callers.js'
import { Disturbances } from './disturbances.js'
import { drawFaults, drawNotices, drawPathFaults } from './fault-draw.js'
import type { SoakFault, SoakShape, TimedFault } from './fault-draw.js'
import { FaultInjector } from './fault-injector.js'
import { PartCallers } from './part-callers.js'
import type { PartSummary } from './part-callers.js'
import { PathChecker } from './path-checker.js'
import { NoticeChecker } from './notice-checker.js'
import { PrecedenceChecker } from './precedence-checker.js'
import type { RankedSummary } from './precedence-checker.js'
import { GuaranteeChecker, routeTimeoutMs } from './guarantee-checker.js'
import { RankedCallers, drawBursts } from './ranked-callers.js'
import { SilenceChecker } from './silence-checker.js'
import type { SilenceSummary } from './silence-checker.js'
import { drawSilences, mayEndAnswers, streamShape } from './silence-plan.js'
import { SlowCallers } from './slow-callers.js'
import { SoakCallers } from './soak-callers.js'
import { StopCallers } from './stop-callers.js'
import type { StopSummary } from './stop-callers.js'
import { drawStops } from './stop-plan.js'
import { SoakTestbed } from './soak-testbed.js'
import type { TestbedBox } from './soak-testbed.js'
import { SurgeCallers } from './surge-callers.js'
import { VersionCallers } from './version-callers.js'
import type { VersionSummary } from './version-callers.js'

/** Result of a soak run. */
export interface SoakReport {
  readonly violations: readonly string[]
  readonly calls: number
  /** Number of calls with a complete answer of status 200. */
  readonly served: number
  readonly faults: number
  /** Calls that were checked at gateways without paths to endpoints. */
  readonly cutOff: { readonly served: number, readonly sent: number }
  /** Results of the calls that met silent endpoints, and of those that met none; null in a run without silences. */
  readonly silences: SilenceSummary | null
  /** Results of the calls to engines, which `calls` and `served` do not count. */
  readonly ranked: readonly RankedSummary[]
  /** Results of harmful requests; null without any. */
  readonly crashes: CrashSummary | null
  /** Results of the streams at several software versions; null without any. */
  readonly versions: VersionSummary | null
  /** Results of the callers of long streams; null without planned stops. */
  readonly stops: StopSummary | null
  /** Results of requests with harmful parts; null without any. */
  readonly parts: PartSummary | null
  /** Describes the results of the callers that compete or read slowly; empty without contention. */
  readonly contention: string
  /** Newest log lines of each process; empty if there are no violations. */
  readonly logs: ReadonlyMap<string, readonly string[]>
}

/** Offset of the seed for notices of endpoints, so that their random numbers are independent of those of the other faults. */
const noticeSeedOffset = 1_000_003
/** The same for what a run with contention draws. */
const contentionSeedOffset = 2_000_029
/** The same for cuts between gateways and endpoints. */
const pathSeedOffset = 3_000_017
/** Of the other faults, a run with such cuts or with planned stops has one in this many: most calls would be disturbed otherwise. */
const otherFaultShare = 4
/** Offset of the seed for silences of endpoints. */
const silenceSeedOffset = 4_000_037
/** Offset of the seed for callers of streams at several software versions. */
const versionSeedOffset = 5_000_011
/** The same for planned stops and callers of long streams. */
const stopSeedOffset = 7_000_003
/** The same for callers of harmful parts. */
const partSeedOffset = 6_000_011
/** Of the faults that may end answers, a run with silences has one in this many. */
const endingFaultShare = 3
/** Maximum time until all gateways serve, at the start and after the faults, ms. */
const startTimeoutMs = 20_000
const recoveryTimeoutMs = 15_000
/** Polling interval of conditions, ms. */
const pollMs = 100
/** Time after the timeout of the routes in which all requests that still run at endpoints end, ms. */
const settleMs = 500

export class SoakHistory {
  #lengthMs: number
  #cutOffCalls: SoakReport['cutOff'] = { served: 0, sent: 0 }
  #silences: SilenceSummary | null = null
  #faults: readonly TimedFault[]
  #testbed: SoakTestbed
  #checker: GuaranteeChecker
  #noticeChecker: NoticeChecker
  #pathChecker: PathChecker
  #silenceChecker: SilenceChecker
  #injector: FaultInjector
  #callers: SoakCallers
  #precedenceChecker: PrecedenceChecker
  #rankedCallers: RankedCallers | null
  #crashCallers: CrashCallers | null
  #surgeCallers: SurgeCallers | null
  #slowCallers: SlowCallers | null
  #versionCallers: VersionCallers | null
  #partCallers: PartCallers | null
  #stopCallers: StopCallers | null
  #parts: PartSummary | null = null

  constructor (seed: number, lengthMs: number, shape: SoakShape) {
    this.#lengthMs = lengthMs
    const disturbances = new Disturbances()
    const notices = shape.notices ? drawNotices(createRandom(noticeSeedOffset + seed), shape, lengthMs) : []
    const plan = shape.contention === true ? drawContention(createRandom(contentionSeedOffset + seed), shape, lengthMs) : null
    const paths = shape.paths === true ? drawPathFaults(createRandom(pathSeedOffset + seed), shape, lengthMs) : []
    const silences = shape.silences === true ? drawSilences(createRandom(silenceSeedOffset + seed), shape, lengthMs) : []
    const stops = shape.stops === true ? drawStops(createRandom(stopSeedOffset + seed), shape, lengthMs) : []
    const faults = drawFaults(createRandom(seed), shape, lengthMs).filter(({ fault }, i) => isKept(shape, fault, i))
    this.#faults = [...faults, ...paths, ...silences, ...stops, ...notices, ...plan?.faults ?? []]
    this.#checker = new GuaranteeChecker(disturbances)
    this.#testbed = new SoakTestbed(shape, seed, plan?.settings ?? null, (name, { code, signal, afterMs }) => this.#checker.reportViolation('a process exited unexpectedly', `${name} with ${signal ?? `code ${code}`}, ${Math.round(afterMs)} ms after its start`))
    this.#noticeChecker = new NoticeChecker(disturbances, this.#checker)
    this.#pathChecker = new PathChecker(disturbances, this.#checker)
    this.#silenceChecker = new SilenceChecker(disturbances, this.#checker, { mayRetry: this.#testbed.retries.extra > 0, registries: shape.registries })
    this.#injector = new FaultInjector(this.#testbed, disturbances, this.#checker, this.#pathChecker, this.#silenceChecker)
    const callerOptions = { seed, testbed: this.#testbed, checker: this.#checker, countRestarts: (gateway: string) => this.#injector.countRestarts(gateway) }
    this.#callers = new SoakCallers({ ...callerOptions, random: createRandom(seed) })
    const contendedOptions = { ...callerOptions, random: createRandom(contentionSeedOffset + seed) }
    this.#surgeCallers = plan === null ? null : new SurgeCallers(contendedOptions, plan.surges)
    this.#slowCallers = plan === null ? null : new SlowCallers(contendedOptions, disturbances, plan.settings)
    this.#precedenceChecker = new PrecedenceChecker(disturbances)
    const rankedOptions = { seed, testbed: this.#testbed, checker: this.#precedenceChecker, random: createRandom(seed) }
    this.#crashCallers = shape.crashers === 0 ? null : new CrashCallers({ seed, testbed: this.#testbed, checker: this.#checker, disturbances, random: createRandom(seed) }, shape.crashers)
    this.#versionCallers = (shape.versions ?? 0) === 0 ? null : new VersionCallers({ seed, testbed: this.#testbed, checker: this.#checker, disturbances, random: createRandom(versionSeedOffset + seed) })
    this.#partCallers = (shape.harmfulParts ?? 0) === 0 ? null : new PartCallers({ seed, testbed: this.#testbed, checker: this.#checker, disturbances, random: createRandom(partSeedOffset + seed) }, shape.harmfulParts ?? 0)
    this.#stopCallers = shape.stops === true ? new StopCallers({ ...callerOptions, random: createRandom(stopSeedOffset + seed) }) : null
    this.#rankedCallers = shape.engines === 0 ? null : new RankedCallers(rankedOptions, drawBursts(createRandom(seed), lengthMs))
  }

  /** Runs once; rejects if the testbed can't be set up. */
  async run (): Promise<SoakReport> {
    try {
      await this.#testbed.start()
      await this.#waitFor(startTimeoutMs, 'all gateways serve at the start', async () => await this.#callers.putDocument() && await this.#isServing())
      this.#callers.start()
      this.#rankedCallers?.start()
      this.#crashCallers?.start()
      this.#surgeCallers?.start()
      this.#slowCallers?.start()
      this.#versionCallers?.start()
      this.#partCallers?.start()
      this.#stopCallers?.start()
      await Promise.all([this.#injector.injectAll(this.#faults), sleep(this.#lengthMs)])
      await this.#rankedCallers?.finish()
      await this.#crashCallers?.finish()
      await this.#versionCallers?.finish()
      await this.#partCallers?.finish()
      await this.#stopCallers?.finish()
      await this.#callers.finish()
      await this.#checkRecovery()
      await this.#surgeCallers?.finish()
      await this.#slowCallers?.finish()
      await sleep((this.#testbed.hasSilences ? streamShape.timeoutMs : routeTimeoutMs) + settleMs)
      this.#checker.checkRuns(this.#testbed.endpoints.flatMap(({ standin }) => standin.runs))
      this.#noticeChecker.checkArrivals(this.#testbed.endpoints)
      this.#crashCallers?.check()
      this.#versionCallers?.check()
      this.#parts = this.#partCallers?.check() ?? null
      this.#cutOffCalls = this.#pathChecker.checkCalls()
      if (this.#testbed.hasSilences) this.#silences = this.#silenceChecker.checkCalls(this.#testbed.endpoints)
      for (const violation of this.#precedenceChecker.findViolations()) this.#checker.reportViolation('less urgent requests were served before more urgent ones', violation)
      this.#checkLogs()
      return this.#report()
    } finally {
      await this.#testbed.stop()
    }
  }

  /** Stops everything that the run started. */
  stop (): Promise<void> { return this.#testbed.stop() }

  get #boxes (): TestbedBox[] { return [...this.#testbed.registries, ...this.#testbed.gateways] }

  async #checkRecovery (): Promise<void> {
    await this.#waitFor(recoveryTimeoutMs, 'all gateways serve again after the faults', () => this.#isServing())
    const newest = this.#callers.newestAcknowledged
    await this.#waitFor(recoveryTimeoutMs, 'the newest document can be read', async () => (await this.#readVersion()) !== null)
    const version = await this.#readVersion()
    if (version !== null && version < newest) this.#checker.reportViolation('an acknowledged document is lost', `read ${version}, acknowledged ${newest}`)
  }

  // Reads the version of the document in force; null if it can't be read.
  async #readVersion (): Promise<number | null> {
    const { status, body } = await this.#testbed.callRegistry(0, 'GET', '/v1/routing')
    return status === 200 ? (JSON.parse(body) as { version: number }).version : null
  }

  async #isServing (): Promise<boolean> {
    for (let i = 0; i < this.#testbed.gateways.length; i++) {
      if (!await this.#testbed.isReady(i) || !await this.#callers.callOnce(i)) return false
    }
    return true
  }

  async #waitFor (timeoutMs: number, condition: string, holds: () => Promise<boolean>): Promise<void> {
    const until = performance.now() + timeoutMs
    while (performance.now() < until) {
      if (await holds()) return
      await sleep(pollMs)
    }
    this.#checker.reportViolation('a condition was not met in time', condition)
  }

  #checkLogs (): void {
    for (const { name, process } of this.#boxes) {
      for (const line of process.lines) if (line.includes('event=violation')) this.#checker.reportViolation('a process logged a violation', `${name}: ${line}`)
    }
  }

  #report (): SoakReport {
    const { violations, calls } = this.#checker
    const boxes = violations.length === 0 ? [] : this.#boxes
    const logs = new Map(boxes.map(({ name, process }) => [name, [...process.lines]]))
    const served = calls.filter(call => call.result.status === 200 && call.result.isComplete).length
    return { violations, calls: calls.length, served, faults: this.#faults.length, cutOff: this.#cutOffCalls, silences: this.#silences, ranked: this.#precedenceChecker.summaries, crashes: this.#crashCallers?.summary ?? null, versions: this.#versionCallers?.summary ?? null, stops: this.#stopCallers?.summary ?? null, parts: this.#parts, contention: [this.#surgeCallers, this.#slowCallers].map(callers => callers?.summary ?? '').join(' ').trim(), logs }
  }
}

// Whether a run of this shape has the i-th of the drawn faults.
function isKept ({ paths, silences, stops }: SoakShape, fault: SoakFault, i: number): boolean {
  if (paths === true || stops === true) return i % otherFaultShare === 0
  return silences !== true || !mayEndAnswers(fault) || i % endingFaultShare === 0
}
