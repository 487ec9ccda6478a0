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
export interface CrashReplicatorHost {
  readonly log: EventLog
  now (): number
  countEndpoints (service: ServiceName): number
  /** Tells gateways and the other registries. */
  broadcast (news: CrashNews): void
  save (entries: readonly QuarantineEntry[]): void
}

export class CrashReplicator {
  #host: CrashReplicatorHost
  #crashes: CrashWatch
  #unsent: Gatherer<CrashNews>

  constructor (host: CrashReplicatorHost) {
    this.#host = host
    this.#crashes = new CrashWatch(host.countEndpoints)
    this.#unsent = new Gatherer(gatherNewsMs, news => host.broadcast(joinNews(news)))
  }

  /** Everything that is known. */
  get state (): CrashNews { return this.#crashes.list(this.#host.now()) }

  /** Takes what was saved before this process started. */
  restore (entries: readonly QuarantineEntry[]): void { this.#crashes.merge({ ends: [], entries }, this.#host.now()) }

  /** Takes what another box tells. */
  merge (news: CrashNews): void { this.#broadcast(this.#crashes.merge(news, this.#host.now())) }

  /** Lifts a quarantine by an operator's word; false where there is none. */
  lift (fingerprint: Fingerprint): boolean {
    const news = this.#crashes.lift(fingerprint, this.#host.now())
    if (news === null) return false
    this.#host.log.info('quarantine-lifted', { fingerprint })
    this.#broadcast(news)
    return true
  }

  #broadcast (news: CrashNews): void {
    if (news.ends.length === 0 && news.entries.length === 0) return
    this.#unsent.add(news)
    if (news.entries.length === 0) return
    for (const entry of news.entries) this.#host.log.warn('quarantine', describeEntry(entry))
    this.#host.save(this.state.entries)
  }
}
