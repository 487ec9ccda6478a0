import type { ShardId, ShardLoad } from '../core/index.js'
import { packLoad } from '../protocol/index.js'
import type { BoxMessage } from '../protocol/index.js'
import type { Demands } from './limits.js'
import type { OpenLinks } from './open-links.js'

/** Boxes that are told at a time: with many, each is told less often, so that the traffic stays the same. */
const toldAtOnce = 4
/** Workspaces' demands go along in one of so many turns. */
const demandTurns = 40

/** Tells other boxes how busy the shards are that this box owns. */
export class LoadTeller {
  #links: OpenLinks<BoxMessage>
  #turn = 0

  constructor (links: OpenLinks<BoxMessage>) {
    this.#links = links
  }

  /** Tells some of the peers; called over and over, all of them in turn. */
  tell (peers: readonly string[], loads: readonly (readonly [ShardId, ShardLoad])[], demands: Demands): void {
    const turns = Math.max(1, Math.ceil(peers.length / toldAtOnce))
    this.#turn += 1
    const packed = loads.map(([shard, load]) => packLoad(shard, load))
    const isDemandDue = this.#turn % demandTurns < turns
    const message: BoxMessage = { type: 'loads', loads: packed, demands: isDemandDue ? demands : null }
    for (const peer of peers.filter((_, i) => i % turns === this.#turn % turns)) this.#links.find(peer)?.send(message)
  }
}
