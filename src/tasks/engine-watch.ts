/** Reads the load reports and cache events of the engines that this box schedules. */
import { get } from 'node:http'
import type { Agent } from 'node:http'
import type { EngineEntry } from '../config/index.js'
import type { LoadReport } from '../core/index.js'

/** What the watch needs of its box. */
export interface EngineWatchHost {
  readonly agent: Agent
  /** The engines to watch now. */
  listEngines (): readonly EngineEntry[]
  noteReport (engine: EngineEntry, report: LoadReport): void
  noteEvicted (engine: EngineEntry, prefixes: readonly string[] | 'unknown'): void
}

const everyMs = 1000
const perEngineMs = 150
const eventsEveryTurn = 3
const timeoutMs = 2000
const largestAnswer = 256 * 1024

export class EngineWatch {
  #host: EngineWatchHost
  #timer: NodeJS.Timeout
  #nextAt = 0
  #turn = 0
  #missed = new Set<string>()

  constructor (host: EngineWatchHost) {
    this.#host = host
    this.#timer = setInterval(() => this.#poll(host.listEngines()), everyMs)
  }

  close (): void {
    clearInterval(this.#timer)
  }

  // With many engines each is asked less often, so the traffic stays the same.
  #poll (engines: readonly EngineEntry[]): void {
    this.#nextAt -= everyMs
    if (this.#nextAt > 0) return
    this.#nextAt = engines.length * perEngineMs
    this.#turn += 1
    for (const engine of engines) {
      void this.#readReport(engine)
      if (this.#turn % eventsEveryTurn === 0) void this.#readEvents(engine)
    }
  }

  async #readReport (engine: EngineEntry): Promise<void> {
    const report = await this.#fetch(engine, '/v1/load') as Partial<LoadReport> | null
    if (report === null || typeof report.stepMs !== 'number') return
    this.#host.noteReport(engine, { running: report.running ?? 0, waiting: report.waiting ?? 0, kvUsed: report.kvUsed ?? 0, stepMs: report.stepMs, leaving: report.leaving === true })
  }

  // A poll that failed may have lost events: what is cached is unknown then.
  async #readEvents (engine: EngineEntry): Promise<void> {
    const events = await this.#fetch(engine, '/v1/cache/events') as { evicted?: string[] } | null
    if (events === null) {
      this.#missed.add(engine.id)
      return
    }
    if (this.#missed.delete(engine.id)) this.#host.noteEvicted(engine, 'unknown')
    if (events.evicted !== undefined && events.evicted.length > 0) this.#host.noteEvicted(engine, events.evicted)
  }

  #fetch (engine: EngineEntry, path: string): Promise<unknown> {
    return new Promise(resolve => {
      const request = get({ host: engine.host, port: engine.port, path, agent: this.#host.agent, timeout: timeoutMs }, response => {
        let text = ''
        response.setEncoding('utf8')
        response.on('data', (chunk: string) => {
          text += chunk
          if (text.length > largestAnswer) request.destroy()
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
