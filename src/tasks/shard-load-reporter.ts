import type { ShardId, ShardLoad } from '../core/index.js'
import { packLoad } from '../protocol/index.js'
import type { BoxMessage } from '../protocol/index.js'
import type { Demands } from './limits.js'
import type { OpenLinks } from './open-links.js'

/** Peers per report. The more peers there are, the less often each gets one, so that the traffic stays constant. */
const peersPerReport = 4
/** Each peer gets the demands of workspaces about once in this many calls of `report`. */
const demandPeriod = 40

/** Reports the load of the shards that this box owns to other boxes. */
export class ShardLoadReporter {
  #links: OpenLinks<BoxMessage>
  #reportCount = 0

  constructor (links: OpenLinks<BoxMessage>) {
    this.#links = links
  }

  /** Reports to the next group of peers. Successive calls cover all peers in turn. */
  report (peers: readonly string[], loads: readonly (readonly [ShardId, ShardLoad])[], demands: Demands): void {
    const groups = Math.max(1, Math.ceil(peers.length / peersPerReport))
    this.#reportCount += 1
    const packed = loads.map(([shard, load]) => packLoad(shard, load))
    const isDemandDue = this.#reportCount % demandPeriod < groups
    const message: BoxMessage = { type: 'loads', loads: packed, demands: isDemandDue ? demands : null }
    for (const peer of peers.filter((_, i) => i % groups === this.#reportCount % groups)) this.#links.find(peer)?.send(message)
  }
}
