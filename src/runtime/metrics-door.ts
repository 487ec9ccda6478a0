import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { performance } from 'node:perf_hooks'
import { listen } from './listen.js'
import type { Metrics } from './metrics.js'

/** How often the process looks at itself, ms. */
const selfEveryMs = 1000

/** Serves a process's metrics in text form, with what the process knows of itself. */
export class MetricsDoor {
  #metrics: Metrics
  #server: Server
  #timer: NodeJS.Timeout
  #lookedAt = performance.now()

  constructor (metrics: Metrics) {
    this.#metrics = metrics
    this.#server = createServer((_request, response) => {
      void metrics.format().then(text => response.end(text))
    })
    this.#server.unref()
    this.#timer = setInterval(() => this.#lookAtSelf(), selfEveryMs).unref()
  }

  /** Listens; resolves with the port. */
  listen (host: string, port: number): Promise<number> {
    return listen(this.#server, { host, port })
  }

  close (): void {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  // A timer that runs late shows how long the process was held up.
  #lookAtSelf (): void {
    const now = performance.now()
    this.#metrics.gauge('loop-delay-ms', Math.max(0, Math.round(now - this.#lookedAt - selfEveryMs)))
    this.#metrics.gauge('memory-bytes', process.memoryUsage.rss())
    this.#lookedAt = now
  }
}
