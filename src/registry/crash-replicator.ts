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
  broadcast (update: CrashUpdate): void
  save (entries: readonly QuarantineEntry[]): void
}

export class CrashReplicator {
  #host: CrashReplicatorHost
  #crashes: CrashWatch
  #unsent: Batcher<CrashUpdate>

  constructor (host: CrashReplicatorHost) {
    this.#host = host
    // Registries see no answers, so only gateways blame parts of prompts.
    this.#crashes = new CrashWatch(host.countEndpoints, () => 'unknown')
    this.#unsent = new Batcher(crashUpdateDelayMs, updates => host.broadcast(mergeCrashUpdates(updates)))
  }

  /** The full state: crashes and quarantine entries. */
  get state (): CrashUpdate { return this.#crashes.list(this.#host.now()) }

  /** Restores the entries saved by the previous process. */
  restore (entries: readonly QuarantineEntry[]): void { this.#crashes.merge({ ends: [], entries }, this.#host.now()) }

  /** Merges an update of another box; broadcasts only what is new. */
  merge (update: CrashUpdate): void { this.#broadcast(this.#crashes.merge(update, this.#host.now())) }

  /** Lifts a quarantine on an operator's request; false where there is none. */
  lift (fingerprint: Fingerprint): boolean {
    const update = this.#crashes.lift(fingerprint, this.#host.now())
    if (update === null) return false
    this.#host.log.info('quarantine-lifted', { fingerprint })
    this.#broadcast(update)
    return true
  }

  #broadcast (update: CrashUpdate): void {
    if (update.ends.length === 0 && update.entries.length === 0) return
    this.#unsent.add(update)
    if (update.entries.length === 0) return
    for (const entry of update.entries) this.#host.log.warn('quarantine', describeEntry(entry))
    this.#host.save(this.state.entries)
  }
}
