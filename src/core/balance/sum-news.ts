/**
 * A hub's sum as it is told. To other hubs: whole now and then, and in between
 * only what changed, as such words cross between zones, where bytes are dear, and
 * each of six hubs tells five others up to a hundred times a second. To gateways:
 * whole, as most of it changes between two words; the speeds of engines now and then.
 */
import type { EndpointId } from '../ids.js'
import type { EndpointLoad, EngineGap, LoadTotals } from './load-word.js'

/** What a hub tells of its sum. */
export interface SumNews extends Omit<LoadTotals, 'gaps'> {
  /** True where `loads` are all that there is; else they are those that changed of late. */
  readonly isWhole: boolean
  /** Endpoints at which nothing is left; none in a whole word. */
  readonly gone: readonly EndpointId[]
  /** Null where they are as told before: the speeds of engines change slowly. */
  readonly gaps: readonly EngineGap[] | null
}

/** A change is told in so many words, as one of them may be lost. */
const sendCount = 2

interface SentLoad {
  /** Its text; empty once nothing is left. */
  readonly text: string
  /** The number of the word in which it was first told. */
  readonly sequence: number
}

/** Composes the news of a sum, for all other hubs alike. */
export class SumTeller {
  #sent = new Map<EndpointId, SentLoad>()
  #sequence = 0

  /** The next news. Where it isn't `isWhole`, it helps those alone who had all words of late but one. */
  compose (sum: LoadTotals, isWhole: boolean): SumNews {
    this.#update(sum.loads)
    if (isWhole) return { ...sum, isWhole, gone: [] }
    const isRecent = (id: EndpointId): boolean => (this.#sent.get(id)?.sequence ?? 0) > this.#sequence - sendCount
    const gone = [...this.#sent].filter(([id, { text }]) => text === '' && isRecent(id)).map(([id]) => id)
    return { ...sum, isWhole, loads: sum.loads.filter(({ endpoint }) => isRecent(endpoint)), gone, gaps: null }
  }

  #update (loads: readonly EndpointLoad[]): void {
    this.#sequence += 1
    const texts = new Map(loads.map(load => [load.endpoint, JSON.stringify(load)]))
    for (const [id, text] of texts) if (this.#sent.get(id)?.text !== text) this.#sent.set(id, { text, sequence: this.#sequence })
    for (const [id, { text, sequence }] of this.#sent) {
      if (texts.has(id)) continue
      if (text !== '') this.#sent.set(id, { text: '', sequence: this.#sequence })
      else if (sequence <= this.#sequence - sendCount) this.#sent.delete(id)
    }
  }
}

/** Puts a hub's sum together again from its news. */
export class SumReader {
  #loads = new Map<EndpointId, EndpointLoad>()
  #gaps: readonly EngineGap[] = []
  #hasWhole = false

  /** The sum with the news in it; null before the first whole one. */
  take ({ isWhole, gone, ...news }: SumNews): LoadTotals | null {
    if (isWhole) this.#loads.clear()
    this.#hasWhole ||= isWhole
    this.#gaps = news.gaps ?? this.#gaps
    if (!this.#hasWhole) return null
    for (const load of news.loads) this.#loads.set(load.endpoint, load)
    for (const id of gone) this.#loads.delete(id)
    return { ...news, loads: [...this.#loads.values()], gaps: this.#gaps }
  }
}
