/** How the configuration spreads: a box asks keepers and boxes of its zone for what it lacks. */
import type { Member } from '../coordination/index.js'
import type { BoxMessage, BoxStatus, Link } from '../protocol/index.js'
import type { ConfigFollower } from './config-follower.js'
import type { OpenLinks } from './open-links.js'

/** A keeper is told the whole status in one of so many turns. */
const statusTurns = 2

/** The box that asks. */
export interface ConfigSpreadHost {
  readonly keepers: readonly string[]
  readonly links: OpenLinks<BoxMessage>
  readonly follower: ConfigFollower
  composeStatus (): BoxStatus
  listZonePeers (): readonly Member[]
}

export class ConfigSpread {
  #host: ConfigSpreadHost
  #turn = 0

  constructor (host: ConfigSpreadHost) {
    this.#host = host
  }

  /** Asks a keeper for what comes after the revision held. */
  watch (link: Link<BoxMessage>, withStatus: boolean): void {
    const { follower } = this.#host
    link.send({ type: 'watch', revision: follower.revision, status: withStatus ? this.#host.composeStatus() : null })
  }

  /** Tells every keeper the revision held. */
  tellRevision (): void { this.#watchAll(null) }

  /** Asks all keepers, one at a time with the whole status, and some boxes of the zone. */
  ask (): void {
    const { keepers, links, follower } = this.#host
    this.#turn += 1
    const isStatusDue = this.#turn % statusTurns === 0
    this.#watchAll(isStatusDue ? (this.#turn / statusTurns) % keepers.length : null)
    for (const peer of this.#host.listZonePeers()) {
      links.find(peer.id)?.send({ type: 'ask-config', revision: follower.revision })
    }
  }

  // `statusTo`: the number of the keeper that is told the whole status.
  #watchAll (statusTo: number | null): void {
    this.#host.keepers.forEach((id, i) => {
      const link = this.#host.links.find(id)
      if (link !== undefined) this.watch(link, i === statusTo)
    })
  }
}
