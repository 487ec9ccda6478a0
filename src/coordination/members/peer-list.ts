/**
 * The peers that a box keeps links to. They are learned from seeds, from what they say
 * themselves, and from the lists of others; one that nobody has been connected to for
 * a while is forgotten, so that replaced peers take no place from later ones.
 */

/** Opens and closes the links to peers. */
export interface PeerLinks {
  dial (host: string): void
  disconnect (host: string): void
}

export interface PeerListBounds {
  /** A peer is forgotten once it was neither connected nor listed for this time, ms. */
  readonly forgetMs: number
  readonly mostPeers: number
}

/** When a peer was last known to be up, ms. */
interface KnownPeer {
  readonly addedAt: number
  /** By a link of this box, by its own word, or as a seed. */
  connectedAt: number
  /** By the list of another peer. */
  listedAt: number
}

export class PeerList {
  #ownHost: string | null
  #bounds: PeerListBounds
  #links: PeerLinks
  #seeds: readonly string[] = []
  /** Never forgotten. */
  #members: readonly string[] = []
  #peers = new Map<string, KnownPeer>()

  /** `ownHost`: never a peer; null if this box is of another kind. */
  constructor (ownHost: string | null, bounds: PeerListBounds, links: PeerLinks) {
    this.#ownHost = ownHost
    this.#bounds = bounds
    this.#links = links
  }

  get hosts (): string[] { return [...this.#peers.keys()] }
  get seeds (): readonly string[] { return this.#seeds }

  /** Replaces the seeds: peers from before stay until they are forgotten. */
  setSeeds (hosts: readonly string[], at: number): void {
    this.#seeds = hosts
    for (const host of hosts) this.#add(host, at, true)
  }

  /** Sets the peers that are dialed however long they are away. */
  setMembers (hosts: readonly string[], at: number): void {
    this.#members = hosts
    for (const host of hosts) this.#add(host, at, true)
  }

  /** Notes that a peer has said itself that it is up. */
  noteHeard (host: string, at: number): void {
    this.#add(host, at, true)
    const peer = this.#peers.get(host)
    if (peer !== undefined) peer.connectedAt = at
  }

  /** Notes the peers that another one listed as up. */
  noteListed (hosts: readonly string[], at: number): void {
    for (const host of hosts) {
      this.#add(host, at, false)
      const peer = this.#peers.get(host)
      if (peer !== undefined) peer.listedAt = at
    }
  }

  /** The peers to tell others of: those to which this box itself was connected lately. Hearsay is not passed on, or peers that are gone would never be forgotten. */
  listRecent (at: number): string[] {
    const { forgetMs } = this.#bounds
    return [...this.#peers].filter(([host, { connectedAt }]) => this.#members.includes(host) || at - connectedAt < forgetMs).map(([host]) => host)
  }

  /** To be called regularly with the peers that are connected now. Without any, this box may be the one that is cut off: it forgets none, and tries the seeds again. */
  check (connected: readonly string[], at: number): void {
    for (const host of connected) {
      const peer = this.#peers.get(host)
      if (peer !== undefined) peer.connectedAt = at
    }
    if (connected.length > 0) return this.#forgetExpired(at)
    for (const peer of this.#peers.values()) peer.listedAt = at
    for (const host of this.#seeds) this.#add(host, at, true)
  }

  #forgetExpired (at: number): void {
    for (const [host, { connectedAt, listedAt }] of this.#peers) {
      if (!this.#members.includes(host) && at - Math.max(connectedAt, listedAt) >= this.#bounds.forgetMs) this.#remove(host)
    }
  }

  // Where there is no room, the one that has been away for longest makes room: for one that was only listed, if that is long.
  #add (host: string, at: number, isSure: boolean): void {
    if (host === this.#ownHost || this.#peers.has(host)) return
    if (this.#peers.size >= this.#bounds.mostPeers && !this.#makeRoom(isSure ? at : at - this.#bounds.forgetMs)) return
    this.#peers.set(host, { addedAt: at, connectedAt: isSure ? at : -Infinity, listedAt: at })
    this.#links.dial(host)
  }

  #makeRoom (before: number): boolean {
    const removable = [...this.#peers].filter(([host]) => !this.#members.includes(host)).map(([host, { addedAt, connectedAt }]) => ({ host, awaySince: Math.max(addedAt, connectedAt) }))
    const [longest] = removable.filter(({ awaySince }) => awaySince < before).sort((a, b) => a.awaySince - b.awaySince)
    if (longest === undefined) return false
    this.#remove(longest.host)
    return true
  }

  #remove (host: string): void {
    this.#peers.delete(host)
    this.#links.disconnect(host)
  }
}
