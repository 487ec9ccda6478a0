import type { BoxId, ServiceName } from '../ids.js'
import type { BoxLoad, EndpointLoad, ServiceDemand } from './load-word.js'

/** What the peers last told of their work. */
export class PeerLoads {
  #loads = new Map<BoxId, BoxLoad>()

  /** Takes a peer's newest word. */
  set (box: BoxId, load: BoxLoad): void { this.#loads.set(box, load) }

  /** Forgets a peer. */
  drop (box: BoxId): void { this.#loads.delete(box) }

  /** What a peer last told of endpoints; nothing for an unknown one. */
  listEndpoints (box: BoxId): readonly EndpointLoad[] { return this.#loads.get(box)?.loads ?? [] }

  /** What each peer last told of a service. */
  listDemands (service: ServiceName): ServiceDemand[] {
    const demands = []
    for (const { demands: told } of this.#loads.values()) {
      for (const demand of told) if (demand.service === service) demands.push(demand)
    }
    return demands
  }

  /** Peers in which requests of a service wait. */
  countHolders (service: ServiceName): number {
    let holders = 0
    for (const { demands } of this.#loads.values()) {
      if (demands.some(demand => demand.service === service && demand.held.length > 0)) holders += 1
    }
    return holders
  }
}
