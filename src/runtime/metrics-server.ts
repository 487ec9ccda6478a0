import { performance } from 'node:perf_hooks'
import { createStatusServer } from './intake/status-server.js'
import type { ClientIntake } from './intake/client-intake.js'
import type { ClientServer } from './intake/client-server.js'
import type { Metrics } from './metrics.js'

/** Interval at which event-loop delay and memory are sampled, ms. */
const sampleIntervalMs = 1000

/** Serves the metrics of a process in the Prometheus text format; adds the event-loop delay and memory of the process. */
export class MetricsServer {
  #metrics: Metrics
  #server: ClientServer
  #timer: NodeJS.Timeout
  #sampledAt = performance.now()

  constructor (metrics: Metrics, intake: ClientIntake) {
    this.#metrics = metrics
    this.#server = createStatusServer({
      listener: 'metrics',
      intake,
      answer: (_request, response) => { void metrics.format().then(text => response.end(text)) }
    })
    this.#server.http.unref()
    this.#timer = setInterval(() => this.#sampleProcess(), sampleIntervalMs).unref()
  }

  /** Listens; resolves with the port. */
  listen (host: string, port: number): Promise<number> {
    return this.#server.listen({ host, port })
  }

  close (): void {
    clearInterval(this.#timer)
    this.#server.close()
  }

  // The delay of the timer shows how long the event loop was blocked.
  #sampleProcess (): void {
    const now = performance.now()
    this.#metrics.gauge('loop-delay-ms', Math.max(0, Math.round(now - this.#sampledAt - sampleIntervalMs)))
    this.#metrics.gauge('memory-bytes', process.memoryUsage.rss())
    this.#sampledAt = now
  }
}
