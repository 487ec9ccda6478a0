/**
 * One history: the real programs under load while the drawn faults come, what
 * callers and endpoints see checked as it goes, and all of it well again at the
 * end. Times and faults come from the seed; the machine's own timing doesn't.
 */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { createRandom } from '../runtime/index.js'
import { CrashCallers } from './crash-callers.js'
import type { CrashSummary } from './crash-callers.js'
import { Disturbances } from './disturbances.js'
import { drawFaults, drawNotices } from './fault-draw.js'
import type { SoakShape, TimedFault } from './fault-draw.js'
import { FaultPlayer } from './fault-player.js'
import { NoticeWatch } from './notice-watch.js'
import { PrecedenceWatch } from './precedence-watch.js'
import type { RankedSummary } from './precedence-watch.js'
import { PromiseWatch, holdMs } from './promise-watch.js'
import { RankedCallers, drawBursts } from './ranked-callers.js'
import { SoakCallers } from './soak-callers.js'
import { SoakStage } from './soak-stage.js'
import type { StagedBox } from './soak-stage.js'

/** What a history came to. */
export interface SoakReport {
  readonly violations: readonly string[]
  readonly calls: number
  /** Calls that got a whole answer. */
  readonly served: number
  readonly faults: number
  /** Of the calls to engines, which are not among the others. */
  readonly ranked: readonly RankedSummary[]
  /** Of requests that end their endpoints; null without such. */
  readonly crashes: CrashSummary | null
  /** The newest lines of each process, where something was violated. */
  readonly logs: ReadonlyMap<string, readonly string[]>
}

/** Added to the seed of what endpoints say: their draws are apart from those of the other faults. */
const noticeSeed = 1_000_003
/** The longest that the stage may take to serve, at first and after the faults, ms. */
const startMs = 20_000
const recoverMs = 15_000
/** How often it is looked whether what is waited for holds, ms. */
const lookMs = 100
/** What still runs has ended after this, ms. */
const settleMs = holdMs + 500

export class SoakHistory {
  #lengthMs: number
  #faults: readonly TimedFault[]
  #stage: SoakStage
  #watch: PromiseWatch
  #notices: NoticeWatch
  #player: FaultPlayer
  #callers: SoakCallers
  #precedence: PrecedenceWatch
  #ranked: RankedCallers | null
  #crashers: CrashCallers | null

  constructor (seed: number, lengthMs: number, shape: SoakShape) {
    this.#lengthMs = lengthMs
    const disturbances = new Disturbances()
    const notices = shape.notices ? drawNotices(createRandom(noticeSeed + seed), shape, lengthMs) : []
    this.#faults = [...drawFaults(createRandom(seed), shape, lengthMs), ...notices]
    this.#watch = new PromiseWatch(disturbances)
    this.#stage = new SoakStage(shape, seed, (name, code) => this.#watch.violate('a process ended by itself', `${name} with ${code}`))
    this.#notices = new NoticeWatch(disturbances, this.#watch)
    this.#player = new FaultPlayer(this.#stage, disturbances, this.#watch)
    this.#callers = new SoakCallers({
      seed,
      stage: this.#stage,
      watch: this.#watch,
      random: createRandom(seed),
      countLives: gateway => this.#player.countLives(gateway)
    })
    this.#precedence = new PrecedenceWatch(disturbances)
    const host = { seed, stage: this.#stage, watch: this.#precedence, random: createRandom(seed) }
    this.#crashers = shape.crashers === 0 ? null : new CrashCallers({ seed, stage: this.#stage, watch: this.#watch, disturbances, random: createRandom(seed) }, shape.crashers)
    this.#ranked = shape.engines === 0 ? null : new RankedCallers(host, drawBursts(createRandom(seed), lengthMs))
  }

  /** Plays the history once; rejects where the stage can't be set up. */
  async run (): Promise<SoakReport> {
    try {
      await this.#stage.start()
      await this.#expect(startMs, 'the stage serves', async () => await this.#callers.put() && await this.#isServing())
      this.#callers.start()
      this.#ranked?.start()
      this.#crashers?.start()
      await Promise.all([this.#player.playAll(this.#faults), sleep(this.#lengthMs)])
      await this.#ranked?.finish()
      await this.#crashers?.finish()
      await this.#callers.finish()
      await this.#checkRecovery()
      await sleep(settleMs)
      this.#watch.settle(this.#stage.endpoints.flatMap(({ standin }) => standin.runs))
      this.#notices.settle(this.#stage.endpoints)
      this.#crashers?.check()
      for (const broken of this.#precedence.findBroken()) this.#watch.violate('less urgent requests went first', broken)
      this.#checkLogs()
      return this.#report()
    } finally {
      await this.#stage.stop()
    }
  }

  /** Ends everything that the history started. */
  stop (): Promise<void> { return this.#stage.stop() }

  get #boxes (): StagedBox[] { return [...this.#stage.registries, ...this.#stage.gateways] }

  async #checkRecovery (): Promise<void> {
    await this.#expect(recoverMs, 'all is served again after the faults', () => this.#isServing())
    const newest = this.#callers.newestAcked
    await this.#expect(recoverMs, 'the newest document can be read', async () => (await this.#read()) !== null)
    const read = await this.#read()
    if (read !== null && read < newest) this.#watch.violate('an acknowledged document is lost', `read ${read}, acknowledged ${newest}`)
  }

  // The version of the document in force; null where it can't be read.
  async #read (): Promise<number | null> {
    const { status, body } = await this.#stage.ask(0, 'GET', '/v1/routing')
    return status === 200 ? (JSON.parse(body) as { version: number }).version : null
  }

  async #isServing (): Promise<boolean> {
    for (let i = 0; i < this.#stage.gateways.length; i++) {
      if (!await this.#stage.isReady(i) || !await this.#callers.tryOnce(i)) return false
    }
    return true
  }

  async #expect (withinMs: number, what: string, holds: () => Promise<boolean>): Promise<void> {
    const until = performance.now() + withinMs
    while (performance.now() < until) {
      if (await holds()) return
      await sleep(lookMs)
    }
    this.#watch.violate('it did not come about', what)
  }

  #checkLogs (): void {
    for (const { name, process } of this.#boxes) {
      for (const line of process.lines) if (line.includes('event=violation')) this.#watch.violate('a process saw a fault of its own', `${name}: ${line}`)
    }
  }

  #report (): SoakReport {
    const { violations, calls } = this.#watch
    const boxes = violations.length === 0 ? [] : this.#boxes
    const logs = new Map(boxes.map(({ name, process }) => [name, [...process.lines]]))
    const served = calls.filter(call => call.end.status === 200 && call.end.isWhole).length
    return { violations, calls: calls.length, served, faults: this.#faults.length, ranked: this.#precedence.summaries, crashes: this.#crashers?.summary ?? null, logs }
  }
}
