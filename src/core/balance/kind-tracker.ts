/** The kinds of request that came to a service of late, and when some of each last began at an engine. */
import { DemandMeter } from './demand-meter.js'
import type { KindRates } from './load-word.js'
import type { Work } from './work.js'

/** A kind of request, told from others by its level. */
export interface KnownKind {
  readonly level: number
  readonly targetMs: number
  /** The longest pause between events that its requests bear, ms; null where they have no events. */
  readonly pauseMs: number | null
  /** The least urgent rank among its requests. */
  readonly priority: number
}

/** A kind that didn't come for so long no longer counts, ms. */
const retentionMs = 60_000
/** Window over which the arrival rate of each kind is measured, ms. */
export const rateWindowMs = 1000

export class KindTracker {
  #kinds = new Map<number, { readonly kind: KnownKind, readonly at: number }>()
  #lastStartAt = new Map<number, number>()
  #meters = new Map<number, DemandMeter>()

  /** Records the arrival of a request; `tokens`: prompt tokens expected to be read for it. */
  note ({ level, targetMs, pauseMs, priority }: Work, tokens: number, at: number): void {
    const known = this.#kinds.get(level)?.kind.priority ?? priority
    this.#kinds.set(level, { kind: { level, targetMs, pauseMs, priority: Math.max(priority, known) }, at })
    const meter = this.#meters.get(level) ?? new DemandMeter(rateWindowMs)
    this.#meters.set(level, meter)
    meter.add(at, tokens)
  }

  /** Notes that a request of a level was sent to an engine. */
  noteBegun (level: number, at: number): void { this.#lastStartAt.set(level, at) }

  /** Arrival rate of each kind, tokens/s; rates that round to zero are omitted. */
  measureRates (at: number): KindRates {
    return [...this.#meters].map(([level, meter]) => [level, Math.round(meter.rate(at))] as const).filter(([, rate]) => rate > 0)
  }

  /** When a request less urgent than those of a level last began; -Infinity for never. */
  findLastLessUrgentStart (level: number): number {
    let latest = -Infinity
    for (const [other, at] of this.#lastStartAt) if (other > level) latest = Math.max(latest, at)
    return latest
  }

  /** The longest target of the kinds less urgent than a level that came of late, ms; 0 for none. */
  findMaxLessUrgentTarget (level: number, at: number): number {
    return this.list(at).reduce((longest, kind) => kind.level > level ? Math.max(longest, kind.targetMs) : longest, 0)
  }

  /** The least urgent rank of a level's requests; `priority` where none is known. */
  findLowestPriority (level: number, priority: number): number { return this.#kinds.get(level)?.kind.priority ?? priority }

  /** The kinds that came of late, the most urgent first. */
  list (at: number): KnownKind[] {
    return [...this.#kinds.values()].filter(one => at - one.at <= retentionMs).map(one => one.kind).sort((a, b) => a.level - b.level)
  }
}
