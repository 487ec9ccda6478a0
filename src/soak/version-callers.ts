/**
 * Callers of resumable streams at endpoints of several software versions. A caller whose stream breaks takes it up at
 * another gateway. All events of a stream must come from one version, each once and in order.
 */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { readEvents } from '../standin/index.js'
import { composeCallerHeaders } from './caller-headers.js'
import type { Disturbances } from './disturbances.js'
import type { GuaranteeChecker } from './guarantee-checker.js'
import { callHttp } from './http-call.js'
import { isInTouch } from './in-touch.js'
import { callerPort } from './soak-testbed.js'
import type { SoakTestbed } from './soak-testbed.js'

/** Dependencies of the callers. */
export interface VersionCallersOptions {
  readonly seed: number
  readonly testbed: SoakTestbed
  readonly checker: GuaranteeChecker
  readonly disturbances: Disturbances
  /** Returns a number in [0, 1). */
  readonly random: () => number
}

/** Counts over all streams. */
export interface VersionSummary {
  readonly streams: number
  /** Streams taken up at gateways in touch while two endpoints of their version serve, and how many of them went on. */
  readonly takenUp: number
  readonly wentOn: number
  /** New streams sent to gateways in touch, and how many of them began. */
  readonly sent: number
  readonly begun: number
}

/** One request of a caller for a stream or the rest of it. */
interface StreamTry {
  readonly wasInTouch: boolean
  readonly sentAt: number
  /** Ids of the events received, and the versions that wrote them. */
  readonly ids: readonly number[]
  readonly versions: readonly string[]
  readonly isComplete: boolean
}

const eventCount = 40
const path = `/resume/events-${eventCount}`
/** Pause between the starts of two streams, ms. */
const pauseMs = 40
/** Most requests for a stream, their deadline, and the pause between two of them, ms. */
const maxTries = 5
const deadlineMs = 5000
const retryMs = 100
/** Interval at which an endpoint crashes, ms, and how long it is down. */
const crashIntervalMs = 1200
const downMs = 2000
/** The longest time for which an endpoint is down after a crash of any cause, ms. */
const maxDownMs = 2500
/** A gateway counts as in touch once it and most registries were undisturbed for this long, ms. */
const inTouchMs = 3000
/** An endpoint counts as serving once it was undisturbed for this long, ms. */
const servingMs = 1500
/** Streams that must have been taken up before their share is checked, and the least share of that of new streams. */
const minTakenUp = 12
const minShare = 0.5

export class VersionCallers {
  #options: VersionCallersOptions
  #isStopping = false
  #running: Promise<void>[] = []
  #sent = 0
  #counts = { streams: 0, takenUp: 0, wentOn: 0, sent: 0, begun: 0 }

  constructor (options: VersionCallersOptions) {
    this.#options = options
  }

  get summary (): VersionSummary { return { ...this.#counts } }

  start (): void { this.#running = [this.#sendSteadily(), this.#crashEndpoints()] }

  /** Stops; resolves once all streams have ended. */
  async finish (): Promise<void> {
    this.#isStopping = true
    await Promise.all(this.#running)
  }

  /** Checks that about as many streams went on as began. */
  check (): void {
    const { takenUp, wentOn, sent, begun } = this.#counts
    if (takenUp >= minTakenUp && wentOn / takenUp < minShare * begun / Math.max(1, sent)) this.#options.checker.reportViolation('streams that callers took up did not go on', `${wentOn} of ${takenUp}, of new ones ${begun} of ${sent}`)
  }

  async #sendSteadily (): Promise<void> {
    const streams: Promise<void>[] = []
    while (!this.#isStopping) {
      streams.push(this.#callStream())
      await sleep(pauseMs)
    }
    await Promise.all(streams)
  }

  async #crashEndpoints (): Promise<void> {
    const { testbed: { endpoints }, random } = this.#options
    while (!this.#isStopping) {
      await sleep(crashIntervalMs)
      endpoints[Math.floor(random() * endpoints.length)].standin.simulateCrash('', downMs)
    }
  }

  async #callStream (): Promise<void> {
    this.#counts.streams += 1
    const ids: number[] = []
    const versions = new Set<string>()
    const tries: string[] = []
    let began: string | null = null
    for (let i = 0; i < maxTries && ids.at(-1) !== eventCount; i++) {
      if (i > 0) await sleep(retryMs)
      const id = this.#createId()
      const one = await this.#try(id, began, ids.at(-1) ?? 0)
      this.#count(one, began !== null, versions)
      if (one.ids.length > 0) began ??= id
      ids.push(...one.ids)
      for (const version of one.versions) versions.add(version)
      tries.push(`${id} ${one.ids[0] ?? '-'}..${one.ids.at(-1) ?? '-'} ${one.versions.join('+')}`)
    }
    const { checker } = this.#options
    if (versions.size > 1) checker.reportViolation('a stream holds events of several software versions', tries.join(', '))
    if (ids.some((id, i) => id !== i + 1)) checker.reportViolation('an event is missing or came twice', tries.join(', '))
  }

  #count (one: StreamTry, isTakenUp: boolean, versions: ReadonlySet<string>): void {
    if (!one.wasInTouch || (isTakenUp && !this.#isServed(versions, one.sentAt))) return
    const hasEvents = one.ids.length > 0 || one.isComplete
    if (isTakenUp) {
      this.#counts.takenUp += 1
      if (hasEvents) this.#counts.wentOn += 1
    } else {
      this.#counts.sent += 1
      if (hasEvents) this.#counts.begun += 1
    }
  }

  // Whether two endpoints of the versions were undisturbed around a request.
  #isServed (versions: ReadonlySet<string>, sentAt: number): boolean {
    const { testbed: { endpoints }, disturbances } = this.#options
    const parts = ['endpoint', 'proxy', 'drain']
    const hasCrashed = (crashedAt: readonly number[]): boolean => crashedAt.some(at => at > sentAt - maxDownMs - servingMs)
    const serving = endpoints.filter(({ standin }, i) => versions.has(standin.software) && !hasCrashed(standin.crashedAt) && !disturbances.wasDisturbed(parts.map(part => `${part} ${i}`), sentAt - servingMs, performance.now()))
    return serving.length >= 2
  }

  async #try (id: string, resumes: string | null, lastId: number): Promise<StreamTry> {
    const { testbed, random, disturbances } = this.#options
    const { name, host } = testbed.gateways[Math.floor(random() * testbed.gateways.length)]
    const headers = { ...composeCallerHeaders(id, deadlineMs), ...(resumes === null ? {} : { 'last-event-id': String(lastId), 'x-wrenlane-resumes': resumes }) }
    const sentAt = performance.now()
    const { status, body, isComplete } = await callHttp({ host, port: callerPort, method: 'POST', path, headers, agent: false, timeout: 2 * deadlineMs }, `stream ${resumes ?? id}`)
    const wasInTouch = isInTouch(disturbances, testbed, name, sentAt - inTouchMs, performance.now())
    if (status !== 200) return { wasInTouch, sentAt, ids: [], versions: [], isComplete: false }
    const { ids, versions } = readEvents(body)
    return { wasInTouch, sentAt, ids, versions: [...new Set(versions)], isComplete }
  }

  #createId (): string {
    this.#sent += 1
    return `versions-${this.#options.seed}-${this.#sent}`
  }
}
