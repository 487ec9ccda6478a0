/** What a process has for its clients, shared by all its listeners; with metrics, and a log line a second for what was refused or closed for lack of room. */
import type { EventLog } from '../event-log.js'
import type { Metrics } from '../metrics.js'
import { ClientMemory } from './client-memory.js'

/** `connections`: closed, as there were too many; `memory`: no room for a head, or for requests behind another; `body`: none for a body. */
export type RefusalReason = 'connections' | 'memory' | 'body'

/** Who was refused; `workspace`: once it is known. */
export interface RefusedClient {
  readonly address: string
  readonly workspace?: string
}

/** Refusals of one listener for one reason since the last line. */
interface RefusalCount extends RefusedClient {
  readonly listener: string
  readonly reason: RefusalReason
  readonly count: number
}

/** Where refusals are reported. */
export interface IntakeTools {
  readonly log: EventLog
  readonly metrics: Metrics
}

const reportIntervalMs = 1000

export class ClientIntake {
  readonly memory: ClientMemory
  #tools: IntakeTools | null
  #counts = new Map<string, RefusalCount>()
  #timer: NodeJS.Timeout

  /** `tools`: null for none. */
  constructor (budgetBytes: number, tools: IntakeTools | null) {
    this.memory = new ClientMemory(budgetBytes)
    this.#tools = tools
    this.#timer = setInterval(() => this.#report(), reportIntervalMs).unref()
    this.#report()
  }

  noteRefused (listener: string, reason: RefusalReason, client: RefusedClient): void {
    this.#tools?.metrics.count('clients-refused', { listener, reason })
    const key = `${listener} ${reason}`
    this.#counts.set(key, { listener, reason, count: (this.#counts.get(key)?.count ?? 0) + 1, ...client })
  }

  close (): void { clearInterval(this.#timer) }

  #report (): void {
    const { totalBytes, budgetBytes, requestBytes } = this.memory
    this.#tools?.metrics.gauge('client-memory-bytes', totalBytes)
    this.#tools?.metrics.gauge('client-memory-request-bytes', requestBytes)
    this.#tools?.metrics.gauge('client-memory-budget-bytes', budgetBytes)
    for (const { listener, reason, count, address, workspace } of this.#counts.values()) this.#tools?.log.warn('clients-refused', { listener, reason, count, address, workspace, held: totalBytes, budget: budgetBytes })
    this.#counts.clear()
  }
}
