/** Polls the load reports and cache events of the engines that this box schedules. */
import { get } from 'node:http'
import type { Agent } from 'node:http'
import type { EngineEntry } from '../config/index.js'
import type { LoadReport } from '../core/index.js'

/** Functions of the box that the poller depends on. */
export interface EnginePollerHost {
  readonly agent: Agent
  /** The engines to poll. */
  listEngines (): readonly EngineEntry[]
  noteReport (engine: EngineEntry, report: LoadReport): void
  /** `prefixes`: the digests of evicted prefixes; `unknown` if events may have been missed. */
  noteEvicted (engine: EngineEntry, prefixes: readonly string[] | 'unknown'): void
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
  #enginesWithMissedEvents = new Set<string>()

  constructor (host: EnginePollerHost) {
    this.#host = host
    this.#timer = setInterval(() => this.#poll(host.listEngines()), tickIntervalMs)
  }

  close (): void {
    clearInterval(this.#timer)
  }

  // The more engines there are, the less often each is polled, so that the traffic stays constant.
  #poll (engines: readonly EngineEntry[]): void {
    this.#remainingMs -= tickIntervalMs
    if (this.#remainingMs > 0) return
    this.#remainingMs = engines.length * intervalPerEngineMs
    this.#pollCount += 1
    for (const engine of engines) {
      void this.#readReport(engine)
      if (this.#pollCount % cacheEventsDivisor === 0) void this.#readEvents(engine)
    }
  }

  async #readReport (engine: EngineEntry): Promise<void> {
    const report = await this.#fetch(engine, '/v1/load') as Partial<LoadReport> | null
    if (report === null || typeof report.stepMs !== 'number') return
    this.#host.noteReport(engine, { running: report.running ?? 0, waiting: report.waiting ?? 0, kvUsed: report.kvUsed ?? 0, stepMs: report.stepMs, leaving: report.leaving === true })
  }

  // Events may have been lost with a failed poll, so the content of the cache is then unknown.
  async #readEvents (engine: EngineEntry): Promise<void> {
    const events = await this.#fetch(engine, '/v1/cache/events') as { evicted?: string[] } | null
    if (events === null) {
      this.#enginesWithMissedEvents.add(engine.id)
      return
    }
    if (this.#enginesWithMissedEvents.delete(engine.id)) this.#host.noteEvicted(engine, 'unknown')
    if (events.evicted !== undefined && events.evicted.length > 0) this.#host.noteEvicted(engine, events.evicted)
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

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return null
  }
}
