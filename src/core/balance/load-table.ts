/**
 * The newest load report of each box of a hub, and the totals that other hubs report. Entries expire if they are
 * not renewed. Cached prompts are not stored here, as they are relayed separately.
 */
import type { BoxId, ZoneName } from '../ids.js'
import { LoadSum } from './load-sum.js'
import { dropBacklog, staleMs } from './stale-load.js'
import type { BoxLoad, LoadTotals } from './box-load.js'
import { LoadUpdateDecoder } from './load-update.js'
import type { LoadUpdate } from './load-update.js'

/** The load of a box or hub expires after this long without a report, ms: six report intervals of a box. */
const expiryMs = 1500

interface ReportedLoad {
  readonly zone: ZoneName
  readonly load: BoxLoad
  readonly at: number
}

/** The totals of another hub, up to its newest update. */
interface ReportedSum {
  readonly decoder: LoadUpdateDecoder
  /** Null before the first complete update. */
  readonly sum: LoadTotals | null
  readonly at: number
}

export class LoadTable {
  #loads = new Map<BoxId, ReportedLoad>()
  #sums = new Map<BoxId, ReportedSum>()

  /** Stores a box's newest report. */
  note (box: BoxId, zone: ZoneName, load: BoxLoad, at: number): void {
    this.#loads.set(box, { zone, load, at })
  }

  /** Drops what a box or hub has reported. */
  forget (box: BoxId): void {
    this.#loads.delete(box)
    this.#sums.delete(box)
  }

  /** Applies an update of another hub's totals. */
  noteSum (hub: BoxId, update: LoadUpdate, at: number): void {
    const decoder = this.#sums.get(hub)?.decoder ?? new LoadUpdateDecoder()
    this.#sums.set(hub, { decoder, sum: decoder.take(update), at })
  }

  /** Drops the boxes and hubs whose reports have expired; returns them. */
  dropExpired (at: number): BoxId[] {
    const silent: BoxId[] = []
    for (const reports of [this.#loads, this.#sums]) {
      for (const [box, report] of reports) {
        if (at - report.at <= expiryMs) continue
        reports.delete(box)
        silent.push(box)
      }
    }
    return silent
  }

  /** Sums the reports of this hub's own boxes, to be sent to other hubs. */
  sumOwn (at: number): LoadTotals {
    const sum = new LoadSum()
    for (const { zone, load, at: reportedAt } of this.#loads.values()) {
      const demands = load.demands.map(demand => ({ ...demand, holders: demand.held.length > 0 ? 1 : 0 }))
      const reported = { loads: load.loads, demands, gaps: load.gaps, prompts: [], zones: [zone] }
      sum.add(at - reportedAt <= staleMs ? reported : dropBacklog(reported))
    }
    return sum.totals
  }

  /** Adds the totals of other hubs to those of the own boxes, to be sent to the own boxes. */
  sumAll (own: LoadTotals, at: number): LoadTotals {
    const sum = new LoadSum()
    sum.add(own)
    for (const { sum: reported, at: reportedAt } of this.#sums.values()) {
      if (reported !== null) sum.add(at - reportedAt <= staleMs ? reported : dropBacklog(reported))
    }
    return sum.totals
  }
}
