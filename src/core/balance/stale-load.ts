/** What is left of a word about loads that was not renewed. */
import type { LoadTotals } from './load-word.js'

/**
 * A word that was not renewed for so long, ms (two words of one box), tells neither that its zone is heard nor what
 * waits: engines have read that by now, or the box is gone with it. What a box that had ended believed to wait kept
 * the others from engines with room for 1.5 s; what moved with its box to another hub counted twice for as long.
 */
export const staleMs = 550

/** Takes off what waits: the requests that run are all that still counts. */
export function dropWaiting (told: LoadTotals): LoadTotals {
  return {
    ...told,
    loads: told.loads.map(load => ({ ...load, waiting: [], largest: 0 })),
    demands: told.demands.map(demand => ({ ...demand, held: [], holders: 0 })),
    prompts: [],
    zones: []
  }
}
