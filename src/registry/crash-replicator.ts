/**
 * Replicates endpoint crashes and quarantined requests between boxes: broadcasts
 * changes, provides the full state for boxes that connect, and persists the
 * quarantine across restarts.
 */
import { CrashWatch, describeEntry, crashUpdateDelayMs, mergeCrashUpdates } from '../core/index.js'
import type { CrashUpdate, Fingerprint, QuarantineEntry, ServiceName } from '../core/index.js'
import { Batcher } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the replicator needs of its box. */
export interface CrashReplicatorHost {
  readonly log: EventLog
  now (): number
  countEndpoints (service: ServiceName): number
  /** Sends to gateways and the other registries. */
  broadcast (news: CrashUpdate): void
  save (entries: readonly QuarantineEntry[]): void
}

export class CrashReplicator {
  #host: CrashReplicatorHost
  #crashes: CrashWatch
  #unsent: Batcher<CrashUpdate>

  constructor (host: CrashReplicatorHost) {
    this.#host = host
    this.#crashes = new CrashWatch(host.countEndpoints)
    this.#unsent = new Batcher(crashUpdateDelayMs, news => host.broadcast(mergeCrashUpdates(news)))
  }

  /** The full state: crashes and quarantine entries. */
  get state (): CrashUpdate { return this.#crashes.list(this.#host.now()) }

  /** Restores the entries saved by the previous process. */
  restore (entries: readonly QuarantineEntry[]): void { this.#crashes.merge({ ends: [], entries }, this.#host.now()) }

  /** Merges an update of another box; broadcasts only what is new. */
  merge (news: CrashUpdate): void { this.#broadcast(this.#crashes.merge(news, this.#host.now())) }

  /** Lifts a quarantine on an operator's request; false where there is none. */
  lift (fingerprint: Fingerprint): boolean {
    const news = this.#crashes.lift(fingerprint, this.#host.now())
    if (news === null) return false
    this.#host.log.info('quarantine-lifted', { fingerprint })
    this.#broadcast(news)
    return true
  }

  #broadcast (news: CrashUpdate): void {
    if (news.ends.length === 0 && news.entries.length === 0) return
    this.#unsent.add(news)
    if (news.entries.length === 0) return
    for (const entry of news.entries) this.#host.log.warn('quarantine', describeEntry(entry))
    this.#host.save(this.state.entries)
  }
}
