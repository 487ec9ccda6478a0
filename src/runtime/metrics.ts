import { StatsD } from 'hot-shots'

/** Where StatsD metrics go; null sends none. */
export interface MetricsTarget {
  readonly host: string
  readonly port: number
}

/** StatsD counters, gauges and timings of one process. */
export class Metrics {
  #client: StatsD

  constructor (target: MetricsTarget | null, box: string) {
    this.#client = new StatsD({
      host: target?.host,
      port: target?.port,
      mock: target === null,
      prefix: 'wrenlane.',
      globalTags: { box },
      maxBufferSize: 1400,
      bufferFlushInterval: 1000,
      errorHandler: () => {}
    })
  }

  count (name: string, tags: Record<string, string> = {}, by = 1): void {
    this.#client.increment(name, by, tags)
  }

  gauge (name: string, value: number, tags: Record<string, string> = {}): void {
    this.#client.gauge(name, value, tags)
  }

  time (name: string, ms: number, tags: Record<string, string> = {}): void {
    this.#client.timing(name, ms, tags)
  }

  close (): Promise<void> {
    return new Promise(resolve => this.#client.close(() => resolve()))
  }
}
