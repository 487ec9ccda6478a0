/**
 * What a registry knows of ends of endpoints and of requests in quarantine. It
 * passes on what is news, tells all of it to boxes that come into touch, and
 * keeps the quarantine over its own end.
 */
import { CrashWatch, describeEntry, gatherNewsMs, joinNews } from '../core/index.js'
import type { CrashNews, Fingerprint, QuarantineEntry, ServiceName } from '../core/index.js'
import { Gatherer } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the desk needs of its box. */
export interface CrashDeskHost {
  readonly log: EventLog
  now (): number
  countEndpoints (service: ServiceName): number
  /** Tells gateways and the other registries. */
  spread (news: CrashNews): void
  save (entries: readonly QuarantineEntry[]): void
}

export class CrashDesk {
  #host: CrashDeskHost
  #watch: CrashWatch
  #untold: Gatherer<CrashNews>

  constructor (host: CrashDeskHost) {
    this.#host = host
    this.#watch = new CrashWatch(host.countEndpoints)
    this.#untold = new Gatherer(gatherNewsMs, news => host.spread(joinNews(news)))
  }

  /** Everything that is known. */
  get news (): CrashNews { return this.#watch.list(this.#host.now()) }

  /** Takes what was saved before this process started. */
  restore (entries: readonly QuarantineEntry[]): void { this.#watch.merge({ ends: [], entries }, this.#host.now()) }

  /** Takes what another box tells. */
  merge (news: CrashNews): void { this.#spread(this.#watch.merge(news, this.#host.now())) }

  /** Lifts a quarantine by an operator's word; false where there is none. */
  lift (fingerprint: Fingerprint): boolean {
    const news = this.#watch.lift(fingerprint, this.#host.now())
    if (news === null) return false
    this.#host.log.info('quarantine-lifted', { fingerprint })
    this.#spread(news)
    return true
  }

  #spread (news: CrashNews): void {
    if (news.ends.length === 0 && news.entries.length === 0) return
    this.#untold.add(news)
    if (news.entries.length === 0) return
    for (const entry of news.entries) this.#host.log.warn('quarantine', describeEntry(entry))
    this.#host.save(this.news.entries)
  }
}
