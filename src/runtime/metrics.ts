import { StatsD } from 'hot-shots'
import Counter from 'prom-client/lib/counter.js'
import Gauge from 'prom-client/lib/gauge.js'
import Histogram from 'prom-client/lib/histogram.js'
import Registry from 'prom-client/lib/registry.js'

/** Address of a StatsD server. */
export interface MetricsTarget {
  readonly host: string
  readonly port: number
}

type Tags = Readonly<Record<string, string>>

/** Histogram buckets for times, ms: from a hop between boxes to the longest time that a request is held. */
const timeBuckets = [1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000, 15000]

/**
 * Counters, gauges and histograms of times of one process: sent to StatsD where a
 * target is set, and exported in the Prometheus text format.
 */
export class Metrics {
  #client: StatsD | null
  #registry = new Registry()
  #counters = new Map<string, Counter>()
  #gauges = new Map<string, Gauge>()
  #times = new Map<string, Histogram>()

  constructor (target: MetricsTarget | null, box: string) {
    this.#registry.setDefaultLabels({ box })
    this.#client = target === null
      ? null
      : new StatsD({
        host: target.host,
        port: target.port,
        prefix: 'wrenlane.',
        globalTags: { box },
        maxBufferSize: 1400,
        bufferFlushInterval: 1000,
        errorHandler: () => {}
      })
  }

  count (name: string, tags: Tags = {}, by = 1): void {
    this.#client?.increment(name, by, { ...tags })
    this.#findCounter(name, tags).inc(tags, by)
  }

  gauge (name: string, value: number, tags: Tags = {}): void {
    this.#client?.gauge(name, value, { ...tags })
    this.#findGauge(name, tags).set(tags, value)
  }

  time (name: string, ms: number, tags: Tags = {}): void {
    this.#client?.timing(name, ms, { ...tags })
    this.#findTimes(name, tags).observe(tags, ms)
  }

  /** All metrics in the Prometheus text format. */
  format (): Promise<string> { return this.#registry.metrics() }

  close (): Promise<void> {
    const client = this.#client
    return client === null ? Promise.resolve() : new Promise(resolve => client.close(() => resolve()))
  }

  #findCounter (name: string, tags: Tags): Counter {
    return find(this.#counters, name, () => new Counter({ ...this.#describe(name, tags, '_total') }))
  }

  #findGauge (name: string, tags: Tags): Gauge {
    return find(this.#gauges, name, () => new Gauge({ ...this.#describe(name, tags, '') }))
  }

  #findTimes (name: string, tags: Tags): Histogram {
    return find(this.#times, name, () => new Histogram({ ...this.#describe(name, tags, '_ms'), buckets: timeBuckets }))
  }

  #describe (name: string, tags: Tags, unit: string) {
    return { name: `wrenlane_${name.replace(/[^a-zA-Z0-9]/g, '_')}${unit}`, help: name, labelNames: Object.keys(tags), registers: [this.#registry] }
  }
}

function find<T> (known: Map<string, T>, name: string, make: () => T): T {
  const found = known.get(name)
  if (found !== undefined) return found
  const made = make()
  known.set(name, made)
  return made
}
