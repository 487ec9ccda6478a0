/**
 * A hub's book of what each of its boxes last told of its work, and of the sums
 * that other hubs told of theirs. Whoever falls silent no longer counts. Prompts
 * are not kept here, as they are passed on by themselves.
 */
import type { BoxId, ZoneName } from '../ids.js'
import { LoadSum } from './load-sum.js'
import { dropWaiting, staleMs } from './stale-load.js'
import type { BoxLoad, LoadTotals } from './load-word.js'
import { SumReader } from './sum-news.js'
import type { SumNews } from './sum-news.js'

/** A box that was silent for so long has nothing at the endpoints, ms: six of its words. */
const silentMs = 1500
/** A box's newest word. */
interface ReportedLoad {
  readonly zone: ZoneName
  readonly load: BoxLoad
  readonly at: number
}

/** What another hub told, up to its newest word. */
interface ReportedSum {
  readonly decoder: SumReader
  /** Null before it was told whole. */
  readonly sum: LoadTotals | null
  readonly at: number
}

export class LoadBook {
  #loads = new Map<BoxId, ReportedLoad>()
  #sums = new Map<BoxId, ReportedSum>()

  /** Takes a box's newest word. */
  note (box: BoxId, zone: ZoneName, load: BoxLoad, at: number): void {
    this.#loads.set(box, { zone, load, at })
  }

  /** Forgets a box's word at once. */
  forget (box: BoxId): void { this.#loads.delete(box) }

  /** Takes the news of another hub's sum. */
  noteSum (hub: BoxId, news: SumNews, at: number): void {
    const decoder = this.#sums.get(hub)?.decoder ?? new SumReader()
    this.#sums.set(hub, { decoder, sum: decoder.take(news), at })
  }

  /** Forgets boxes and hubs that have fallen silent; returns them. */
  forgetSilent (at: number): BoxId[] {
    const silent: BoxId[] = []
    for (const told of [this.#loads, this.#sums]) {
      for (const [box, word] of told) {
        if (at - word.at <= silentMs) continue
        told.delete(box)
        silent.push(box)
      }
    }
    return silent
  }

  /** Adds up what this hub's own boxes told: what it tells the other hubs. */
  sumOwn (at: number): LoadTotals {
    const sum = new LoadSum()
    for (const { zone, load, at: reportedAt } of this.#loads.values()) {
      const demands = load.demands.map(demand => ({ ...demand, holders: demand.held.length > 0 ? 1 : 0 }))
      const reported = { loads: load.loads, demands, gaps: load.gaps, prompts: [], zones: [zone] }
      sum.add(at - reportedAt <= staleMs ? reported : dropWaiting(reported))
    }
    return sum.totals
  }

  /** Adds what other hubs told to the sum of the own boxes: what it tells its boxes. */
  sumAll (own: LoadTotals, at: number): LoadTotals {
    const sum = new LoadSum()
    sum.add(own)
    for (const { sum: reported, at: reportedAt } of this.#sums.values()) {
      if (reported !== null) sum.add(at - reportedAt <= staleMs ? reported : dropWaiting(reported))
    }
    return sum.totals
  }
}
