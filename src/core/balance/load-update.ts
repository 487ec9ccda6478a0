/**
 * Encodes a hub's load totals as updates. Other hubs receive complete totals periodically and only changes in
 * between, because traffic between zones is billed and each of six hubs sends to five others up to a hundred times
 * a second. Gateways receive complete totals, as most of them change between two updates, with the speeds of
 * engines only now and then.
 */
import type { EndpointId } from '../ids.js'
import type { EndpointLoad, EngineGap, LoadTotals } from './box-load.js'

/** An update of a hub's load totals. */
export interface LoadUpdate extends Omit<LoadTotals, 'gaps'> {
  /** True if `loads` is complete; otherwise it contains recent changes only. */
  readonly isWhole: boolean
  /** Endpoints without any load left; empty in a complete update. */
  readonly gone: readonly EndpointId[]
  /** Null if unchanged since the last update that had them: the speeds of engines change slowly. */
  readonly gaps: readonly EngineGap[] | null
}

/** Number of updates in which a change is repeated, as one of them may be lost. */
const sendCount = 2

interface SentLoad {
  /** Serialized load; empty once there is none. */
  readonly text: string
  /** Sequence number of the first update that contained it. */
  readonly sequence: number
}

/** Encodes a hub's totals; all other hubs receive the same updates. */
export class LoadUpdateEncoder {
  #sent = new Map<EndpointId, SentLoad>()
  #sequence = 0

  /** Composes the next update. A partial one (not `isWhole`) is sufficient only for receivers that missed at most one of the latest updates. */
  compose (sum: LoadTotals, isWhole: boolean): LoadUpdate {
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

/** Reconstructs a hub's totals from its updates. */
export class LoadUpdateDecoder {
  #loads = new Map<EndpointId, EndpointLoad>()
  #gaps: readonly EngineGap[] = []
  #hasWhole = false

  /** Applies an update; returns the totals, or null before the first complete update. */
  take ({ isWhole, gone, ...update }: LoadUpdate): LoadTotals | null {
    if (isWhole) this.#loads.clear()
    this.#hasWhole ||= isWhole
    this.#gaps = update.gaps ?? this.#gaps
    if (!this.#hasWhole) return null
    for (const load of update.loads) this.#loads.set(load.endpoint, load)
    for (const id of gone) this.#loads.delete(id)
    return { ...update, loads: [...this.#loads.values()], gaps: this.#gaps }
  }
}
