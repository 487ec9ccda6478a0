import { parseAddress } from '../config/index.js'
import { getKeeperName } from '../coordination/index.js'
import type { Replica } from '../coordination/index.js'
import type { LinkPool, RouteMessage } from '../protocol/index.js'

/** The other known registries. Each is dialed until it is removed; seeds are never removed. */
export class KnownHosts {
  #ownHost: string
  #linkPort: number
  #links: LinkPool<RouteMessage>
  #hosts = new Set<string>()
  #seeds: readonly string[] = []

  constructor (ownHost: string, linkPort: number, links: LinkPool<RouteMessage>) {
    this.#ownHost = ownHost
    this.#linkPort = linkPort
    this.#links = links
  }

  get others (): string[] { return [...this.#hosts] }
  get seeds (): readonly string[] { return this.#seeds }

  /** Replaces the seeds, given by the addresses that operators use; hosts that are already known stay known. */
  setSeeds (addresses: readonly string[]): void {
    this.#seeds = addresses.map(address => parseAddress(address).host)
    for (const host of this.#seeds) this.add(host)
  }

  /** Adds the members of the log, as all seeds may be gone by the time that a box restarts. */
  addMembers (replica: Replica | null): void {
    if (replica === null) return
    for (const member of [...replica.members.voters, ...replica.members.learners]) this.add(getKeeperName(member))
  }

  add (host: string): void {
    if (host === this.#ownHost || this.#hosts.has(host)) return
    this.#hosts.add(host)
    this.#links.dial(host, this.#linkPort)
  }

  remove (host: string): void {
    if (this.#seeds.includes(host)) return
    this.#hosts.delete(host)
    this.#links.disconnect(host, this.#linkPort)
  }
}
