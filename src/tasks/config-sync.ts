/** Keeps the configuration of a box up to date by polling keepers and boxes in the same zone. */
import type { Member } from '../coordination/index.js'
import type { BoxMessage, BoxStatus, Link } from '../protocol/index.js'
import type { ConfigFollower } from './config-follower.js'
import type { OpenLinks } from './open-links.js'

/** The status of the box is sent with one in this many polls, to one keeper at a time. */
const statusPeriod = 2

/** State and functions of the box that `ConfigSync` depends on. */
export interface ConfigSyncHost {
  readonly keepers: readonly string[]
  readonly links: OpenLinks<BoxMessage>
  readonly follower: ConfigFollower
  composeStatus (): BoxStatus
  listZonePeers (): readonly Member[]
}

export class ConfigSync {
  #host: ConfigSyncHost
  #pollCount = 0

  constructor (host: ConfigSyncHost) {
    this.#host = host
  }

  /** Subscribes to the revisions after the current one. `withStatus`: also sends the status of this box. */
  sendWatch (link: Link<BoxMessage>, withStatus: boolean): void {
    const { follower } = this.#host
    link.send({ type: 'watch', revision: follower.revision, status: withStatus ? this.#host.composeStatus() : null })
  }

  /** Reports the current revision to every keeper. */
  reportRevision (): void { this.#watchKeepers(null) }

  /** Polls all keepers and some boxes of the zone. */
  poll (): void {
    const { keepers, links, follower } = this.#host
    this.#pollCount += 1
    const isStatusDue = this.#pollCount % statusPeriod === 0
    this.#watchKeepers(isStatusDue ? (this.#pollCount / statusPeriod) % keepers.length : null)
    for (const peer of this.#host.listZonePeers()) {
      links.find(peer.id)?.send({ type: 'ask-config', revision: follower.revision })
    }
  }

  // `statusTo`: index of the keeper that also gets the status; null for none.
  #watchKeepers (statusTo: number | null): void {
    this.#host.keepers.forEach((id, i) => {
      const link = this.#host.links.find(id)
      if (link !== undefined) this.sendWatch(link, i === statusTo)
    })
  }
}
