/**
 * Polls the load reports and cache events of the engines that this box schedules.
 * An engine that doesn't answer may be suspended or out of this box's reach, and
 * keeps its cache: what is believed of it is stale until its next answer.
 */
import { get } from 'node:http'
import type { Agent } from 'node:http'
import type { EngineEntry } from '../config/index.js'
import type { CacheState, EngineId, LoadReport } from '../core/index.js'

/** Functions of the box that the poller depends on. */
export interface EnginePollerHost {
  readonly agent: Agent
  /** The engines to poll. */
  listEngines (): readonly EngineEntry[]
  noteReport (engine: EngineEntry, report: LoadReport): void
  noteCache (engine: EngineEntry, change: CacheChange): void
}

/** A change of an engine's prefix cache. `prefixes`: the digests of evicted prefixes. */
export type CacheChange =
  | { readonly type: 'evicted', readonly prefixes: readonly string[] }
  | { readonly type: 'cacheState', readonly state: CacheState }

/** Cache events as engines send them. All but `evicted` may be left out. */
interface CacheEvents {
  readonly evicted?: readonly string[]
  /** Changes when the engine starts anew. */
  readonly incarnation?: string | number
  /** Number of the next event; polls ask for the events from there on. */
  readonly next?: number
  /** True if the engine no longer has all events that were asked for. */
  readonly missed?: boolean
}

interface PolledCache {
  incarnation: string | number | undefined
  next: number | undefined
  isStale: boolean
  isPolling: boolean
}

const tickIntervalMs = 1000
/** The interval between polls is this time multiplied by the number of engines. */
const intervalPerEngineMs = 150
/** Cache events are read in one of this many polls. */
const cacheEventsDivisor = 3
const requestTimeoutMs = 2000
const maxResponseLength = 256 * 1024

export class EnginePoller {
  #host: EnginePollerHost
  #timer: NodeJS.Timeout
  #remainingMs = 0
  #pollCount = 0
  #caches = new Map<EngineId, PolledCache>()

  /** `tickMs`: interval of the timer by which polls are started. */
  constructor (host: EnginePollerHost, tickMs = tickIntervalMs) {
    this.#host = host
    this.#timer = setInterval(() => this.#poll(host.listEngines(), tickMs), tickMs)
  }

  close (): void {
    clearInterval(this.#timer)
  }

  // The more engines there are, the less often each is polled, so that the traffic stays constant.
  #poll (engines: readonly EngineEntry[], elapsedMs: number): void {
    this.#remainingMs -= elapsedMs
    if (this.#remainingMs > 0) return
    this.#remainingMs = engines.length * intervalPerEngineMs
    this.#pollCount += 1
    const isCachePoll = this.#pollCount % cacheEventsDivisor === 0
    for (const engine of engines) {
      void this.#readReport(engine)
      if (isCachePoll) void this.#readEvents(engine)
    }
    if (isCachePoll) this.#removeCaches(engines)
  }

  async #readReport (engine: EngineEntry): Promise<void> {
    const report = await this.#fetch(engine, '/v1/load') as Partial<LoadReport> | null
    if (report === null || typeof report.stepMs !== 'number') return
    this.#host.noteReport(engine, { running: report.running ?? 0, waiting: report.waiting ?? 0, kvUsed: report.kvUsed ?? 0, stepMs: report.stepMs, leaving: report.leaving === true })
  }

  async #readEvents (engine: EngineEntry): Promise<void> {
    const cache = this.#getCache(engine.id)
    if (cache.isPolling) return
    cache.isPolling = true
    const events = await this.#fetch(engine, `/v1/cache/events${cache.next === undefined ? '' : `?after=${cache.next}`}`) as CacheEvents | null
    cache.isPolling = false
    const state = determineState(cache, events)
    if (state !== null) this.#host.noteCache(engine, { type: 'cacheState', state })
    cache.isStale = events === null
    if (events === null) return
    cache.incarnation = events.incarnation
    cache.next = events.next
    if (events.evicted !== undefined && events.evicted.length > 0) this.#host.noteCache(engine, { type: 'evicted', prefixes: events.evicted })
  }

  #getCache (engine: EngineId): PolledCache {
    const known = this.#caches.get(engine)
    if (known !== undefined) return known
    const created = { incarnation: undefined, next: undefined, isStale: false, isPolling: false }
    this.#caches.set(engine, created)
    return created
  }

  #removeCaches (kept: readonly EngineEntry[]): void {
    const ids = new Set(kept.map(({ id }) => id))
    for (const id of this.#caches.keys()) {
      if (!ids.has(id)) this.#caches.delete(id)
    }
  }

  #fetch (engine: EngineEntry, path: string): Promise<unknown> {
    return new Promise(resolve => {
      const request = get({ host: engine.host, port: engine.port, path, agent: this.#host.agent, timeout: requestTimeoutMs }, response => {
        let text = ''
        response.setEncoding('utf8')
        response.on('data', (chunk: string) => {
          text += chunk
          if (text.length > maxResponseLength) request.destroy()
        })
        response.on('end', () => resolve(response.statusCode === 200 ? parseJson(text) : null))
        response.on('error', () => resolve(null))
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(null))
    })
  }
}

// `events`: null if the engine did not answer. Returns null if the state has not changed.
function determineState (cache: PolledCache, events: CacheEvents | null): CacheState | null {
  if (events === null) return cache.isStale ? null : 'stale'
  const isNew = cache.incarnation !== undefined && events.incarnation !== cache.incarnation
  if (isNew || events.missed === true) return 'emptied'
  return cache.isStale ? 'current' : null
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return null
  }
}
