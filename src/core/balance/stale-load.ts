/** Reduces load reports that were not renewed. */
import type { LoadTotals } from './box-load.js'

/**
 * A report is stale after this long without a newer one, ms (two report intervals of a box): it no longer shows
 * that its zone is reachable, nor what waits, as engines have read that by now or the box has stopped. Otherwise,
 * the backlog of a stopped box keeps the others away from engines with room for 1.5 s, and that of a box that
 * changed its hub is counted twice for as long.
 */
export const staleMs = 550

/** Removes the backlog from stale totals; only running requests still count. */
export function dropBacklog (totals: LoadTotals): LoadTotals {
  return {
    ...totals,
    loads: totals.loads.map(load => ({ ...load, waiting: [], largest: 0 })),
    demands: totals.demands.map(demand => ({ ...demand, held: [], holders: 0, ...(demand.kept === undefined ? {} : { kept: [] }) })),
    prompts: [],
    zones: []
  }
}
