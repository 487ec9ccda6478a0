import { parseAddress } from '../config/index.js'
import type { LinkPool, RouteMessage } from '../protocol/index.js'

/** The other registries that a registry knows, each called until it is forgotten. Seeds are never forgotten. */
export class KnownHosts {
  #own: string
  #linkPort: number
  #links: LinkPool<RouteMessage>
  #hosts = new Set<string>()
  #seeds: readonly string[] = []

  constructor (own: string, linkPort: number, links: LinkPool<RouteMessage>) {
    this.#own = own
    this.#linkPort = linkPort
    this.#links = links
  }

  get others (): string[] { return [...this.#hosts] }
  get seeds (): readonly string[] { return this.#seeds }

  /** Takes other seeds, as addresses for operators; those known before stay known. */
  setSeeds (addresses: readonly string[]): void {
    this.#seeds = addresses.map(address => parseAddress(address).host)
    for (const host of this.#seeds) this.meet(host)
  }

  meet (host: string): void {
    if (host === this.#own || this.#hosts.has(host)) return
    this.#hosts.add(host)
    this.#links.dial(host, this.#linkPort)
  }

  forget (host: string): void {
    if (this.#seeds.includes(host)) return
    this.#hosts.delete(host)
    this.#links.hangUp(host, this.#linkPort)
  }
}
