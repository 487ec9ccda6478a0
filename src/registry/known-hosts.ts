import { parseAddress } from '../config/index.js'
import { PeerList, getKeeperName } from '../coordination/index.js'
import type { Replica } from '../coordination/index.js'
import type { LinkPool, RouteMessage } from '../protocol/index.js'

/** A registry that is no member of the log is forgotten after this long without contact, ms: longer than a restart. */
const forgetMs = 15_000
/** More registries than a system of the supported size has. */
const mostHosts = 64

/** The other registries that this one knows, by their hosts, and keeps links to. */
export class KnownHosts {
  #now: () => number
  #links: LinkPool<RouteMessage>
  #peers: PeerList

  constructor (ownHost: string, linkPort: number, links: LinkPool<RouteMessage>, now: () => number) {
    this.#now = now
    this.#links = links
    this.#peers = new PeerList(ownHost, { forgetMs, mostPeers: mostHosts }, {
      dial: host => links.dial(host, linkPort),
      disconnect: host => links.disconnect(host, linkPort)
    })
  }

  get all (): string[] { return this.#peers.hosts }
  /** Those that others are told of. */
  get recent (): string[] { return this.#peers.listRecent(this.#now()) }
  get seeds (): readonly string[] { return this.#peers.seeds }

  /** Replaces the seeds, given by the addresses that operators use. */
  setSeeds (addresses: readonly string[]): void { this.#peers.setSeeds(addresses.map(address => parseAddress(address).host), this.#now()) }

  /** Notes a registry that has said hello, and those that it listed. */
  noteHello (host: string, others: readonly string[]): void {
    this.#peers.noteHeard(host, this.#now())
    this.#peers.noteListed(others, this.#now())
  }

  /** Forgets the registries that are gone. Members of the log are kept: all seeds may be gone by the time that a box restarts. */
  check (replica: Replica | null): void {
    if (replica !== null) this.#peers.setMembers([...replica.members.voters, ...replica.members.learners].map(getKeeperName), this.#now())
    this.#peers.check(this.#links.connectedHosts, this.#now())
  }
}
