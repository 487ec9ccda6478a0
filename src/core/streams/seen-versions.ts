import type { ServiceName } from '../ids.js'
import type { StreamOrigin } from './origin-table.js'

/** Maximum number of versions kept per service; further ones are not told apart from these, and are many in any case. */
const maxVersions = 100

/** The software versions of each service that endpoints have ever named, also those of endpoints that are gone or run another version now. */
export class SeenVersions {
  #services = new Map<ServiceName, Set<string>>()
  /** Services with endpoints that named their version only after they had registered without. */
  #late = new Set<ServiceName>()

  /** Notes a version; empty for endpoints that don't name theirs. */
  note ({ service, software }: StreamOrigin): void {
    const versions = this.#services.get(service)
    if (versions === undefined) this.#services.set(service, new Set([software]))
    else if (versions.size < maxVersions) versions.add(software)
  }

  has ({ service, software }: StreamOrigin): boolean { return this.#services.get(service)?.has(software) === true }

  list (service: ServiceName): string[] { return [...this.#services.get(service) ?? []] }

  listAll (): StreamOrigin[] { return [...this.#services].flatMap(([service, versions]) => [...versions].map(software => ({ service, software }))) }

  /** Notes that an endpoint named its version after it had registered without. */
  noteLate (service: ServiceName): void { this.#late.add(service) }

  /** True if an origin tells which software writes the stream: a missing version doesn't if it may only be missing yet. */
  isKnown ({ service, software }: StreamOrigin): boolean { return software !== '' || !this.#late.has(service) }
}
