/** The kinds of request that recently arrived for a service, and when a request of each was last sent to an engine. */
import { RateMeter } from './rate-meter.js'
import type { KindRates } from './box-load.js'
import type { RequestProfile } from './work.js'

/** A kind of request, identified by its level. */
export interface KnownKind {
  readonly level: number
  readonly targetMs: number
  /** Longest pause between events that its requests tolerate, ms; null if they have no events. */
  readonly pauseMs: number | null
  /** The least urgent priority among its requests. */
  readonly priority: number
}

/** A kind with no arrival for this long is ignored, ms. */
const retentionMs = 60_000
/** Window over which the arrival rate of each kind is measured, ms. */
export const rateWindowMs = 1000

export class KindTracker {
  #kinds = new Map<number, { readonly kind: KnownKind, readonly at: number }>()
  #lastStartAt = new Map<number, number>()
  #meters = new Map<number, RateMeter>()

  /** Records the arrival of a request; `tokens`: prompt tokens expected to be read for it. */
  note ({ level, targetMs, pauseMs, priority }: RequestProfile, tokens: number, at: number): void {
    const known = this.#kinds.get(level)?.kind.priority ?? priority
    this.#kinds.set(level, { kind: { level, targetMs, pauseMs, priority: Math.max(priority, known) }, at })
    const meter = this.#meters.get(level) ?? new RateMeter(rateWindowMs)
    this.#meters.set(level, meter)
    meter.add(at, tokens)
  }

  /** Notes that a request of a level was sent to an engine. */
  noteStarted (level: number, at: number): void { this.#lastStartAt.set(level, at) }

  /** Arrival rate of each kind, tokens/s; rates that round to zero are omitted. */
  measureRates (at: number): KindRates {
    return [...this.#meters].map(([level, meter]) => [level, Math.round(meter.rate(at))] as const).filter(([, rate]) => rate > 0)
  }

  /** When a request less urgent than `level` was last sent; -Infinity if none was. */
  findLastLessUrgentStart (level: number): number {
    let latest = -Infinity
    for (const [other, at] of this.#lastStartAt) if (other > level) latest = Math.max(latest, at)
    return latest
  }

  /** Longest target of the recent kinds that are less urgent than `level`, ms; 0 if there are none. */
  findMaxLessUrgentTarget (level: number, at: number): number {
    return this.list(at).reduce((longest, kind) => kind.level > level ? Math.max(longest, kind.targetMs) : longest, 0)
  }

  /** The least urgent priority among a level's requests; `priority` if none is known. */
  findLowestPriority (level: number, priority: number): number { return this.#kinds.get(level)?.kind.priority ?? priority }

  /** The recent kinds, the most urgent first. */
  list (at: number): KnownKind[] {
    return [...this.#kinds.values()].filter(one => at - one.at <= retentionMs).map(one => one.kind).sort((a, b) => a.level - b.level)
  }
}
