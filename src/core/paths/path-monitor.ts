/**
 * Decides over which path a box reaches each endpoint. A failed connection shows only that this box doesn't reach the
 * endpoint; whether the endpoint or the path is down is checked through a relay, another box with a path of its own. If the
 * relay reaches it, the path is lost, and requests go through relays until a direct connection succeeds again. Once several
 * paths to a service are lost and none works, those to its other endpoints count as lost too, so that detection doesn't take
 * a failed request for each. Free of I/O: checks and probes are listed when due, and their outcomes passed in.
 */
import type { EndpointId, ServiceName } from '../ids.js'

export type EndpointPath = 'direct' | 'relay'

/** Outcome of a check through a relay; `none`: no relay could tell. */
export type CheckOutcome = 'reached' | 'unreachable' | 'none'

/** The lost paths to a service's endpoints. */
export interface ServicePathStatus {
  readonly service: ServiceName
  /** True if all paths without a later success count as lost. */
  readonly isLost: boolean
  /** Number of endpoints that a relay reached but this box did not. */
  readonly lostEndpoints: number
  readonly sinceMs: number
}

/** An endpoint that is to be checked through a relay. */
export interface PathCheck {
  readonly endpoint: EndpointId
  readonly service: ServiceName
}

/** An endpoint to which the last direct connection failed. */
interface FailedPath {
  /** True if a relay has reached the endpoint since. */
  isLost: boolean
  readonly failedAt: number
  /** When the endpoint is to be checked through a relay; Infinity while a check is under way. */
  checkAt: number
  checkIntervalMs: number
}

interface ServicePaths {
  readonly failed: Map<EndpointId, FailedPath>
  /** When all paths without a later success began to count as lost; null if they don't. */
  lostAt: number | null
  /** When the first of the paths that are lost now was found lost; null for none. */
  firstLostAt: number | null
  lastConnectedAt: number
  /** Direct connections that succeeded since the last one that failed, while paths were lost. */
  reconnected: number
  probedAt: number
  /** Position of the next probe in the list of lost paths. */
  nextProbe: number
}

/** Number of lost paths from which all others of the service count as lost too. */
const minLostForAll = 2
/** Number of direct connections that must succeed in a row until all paths of the service count as restored. */
const minReconnected = 3
/** Checks of an endpoint that no relay reaches are repeated at intervals that double from this, ms. */
const minCheckIntervalMs = 1000
const maxCheckIntervalMs = 4000
/** Interval of checks that no relay answered, ms. */
const uncheckedRetryMs = 200
/** Maximum number of checks under way. */
const maxChecks = 8
/** Interval of probes of the lost paths of a service, ms; shorter once one of them succeeded. */
const probeIntervalMs = 250
const restoreIntervalMs = 40
/** Number of probes at a time once one has succeeded. */
const restoreProbes = 4
export class PathMonitor {
  #services = new Map<ServiceName, ServicePaths>()
  #checks = 0

  /** True if no path is lost and no connection has failed since it last succeeded. */
  get isIdle (): boolean { return this.#services.size === 0 }

  /** Services with lost paths. */
  list (at: number): ServicePathStatus[] {
    return [...this.#services].flatMap(([service, { failed, lostAt, firstLostAt }]) => {
      const lostEndpoints = countLost(failed)
      return lostEndpoints === 0 && lostAt === null ? [] : [{ service, isLost: lostAt !== null, lostEndpoints, sinceMs: at - (firstLostAt ?? at) }]
    })
  }

  findPath (endpoint: EndpointId, service: ServiceName): EndpointPath {
    const paths = this.#services.get(service)
    if (paths === undefined) return 'direct'
    return paths.lostAt !== null || paths.failed.get(endpoint)?.isLost === true ? 'relay' : 'direct'
  }

  /** Notes that a direct connection was established; true if paths were restored. */
  noteConnected (endpoint: EndpointId, service: ServiceName, at: number): boolean {
    const paths = this.#services.get(service)
    if (paths === undefined) return false
    const wasLost = this.findPath(endpoint, service) === 'relay'
    paths.lastConnectedAt = at
    paths.failed.delete(endpoint)
    if (wasLost) paths.reconnected += 1
    // This endpoint is reached, so the others can't be presumed lost.
    paths.lostAt = null
    if (paths.reconnected >= minReconnected) for (const [id, { isLost }] of paths.failed) if (isLost) paths.failed.delete(id)
    if (countLost(paths.failed) === 0) paths.firstLostAt = null
    if (paths.failed.size === 0) this.#services.delete(service)
    return wasLost
  }

  /** Notes that a direct connection could not be established. */
  noteFailed (endpoint: EndpointId, service: ServiceName, at: number): void {
    const paths = this.#find(service)
    paths.reconnected = 0
    if (!paths.failed.has(endpoint)) paths.failed.set(endpoint, { isLost: false, failedAt: at, checkAt: at, checkIntervalMs: minCheckIntervalMs })
  }

  /** Notes the outcome of a check; true if paths were found lost. */
  noteCheck (endpoint: EndpointId, service: ServiceName, outcome: CheckOutcome, at: number): boolean {
    this.#checks = Math.max(0, this.#checks - 1)
    const paths = this.#services.get(service)
    const path = paths?.failed.get(endpoint)
    if (paths === undefined || path === undefined) return false
    switch (outcome) {
      case 'none':
        path.checkAt = at + uncheckedRetryMs
        return false
      case 'unreachable':
        path.checkAt = at + path.checkIntervalMs
        path.checkIntervalMs = Math.min(maxCheckIntervalMs, path.checkIntervalMs * 2)
        return false
      case 'reached':
        path.isLost = true
        paths.firstLostAt ??= at
        if (this.#isServiceLost(paths)) paths.lostAt ??= at
        return true
    }
  }

  /** Endpoints to be checked through a relay now; `noteCheck` must follow for each, even if it is gone by then. */
  listChecks (at: number): PathCheck[] {
    const due: PathCheck[] = []
    for (const [service, { failed }] of this.#services) {
      for (const [endpoint, path] of failed) {
        if (this.#checks >= maxChecks) return due
        if (path.isLost || path.checkAt > at) continue
        path.checkAt = Infinity
        this.#checks += 1
        due.push({ endpoint, service })
      }
    }
    return due
  }

  /** Endpoints whose direct paths are to be probed now; `listEndpoints`: all endpoints of a service. */
  listProbes (listEndpoints: (service: ServiceName) => readonly EndpointId[], at: number): EndpointId[] {
    return [...this.#services].flatMap(([service, paths]) => {
      const isRestoring = paths.reconnected > 0
      if (at - paths.probedAt < (isRestoring ? restoreIntervalMs : probeIntervalMs)) return []
      const lost = paths.lostAt === null ? [...paths.failed].filter(([, { isLost }]) => isLost).map(([id]) => id) : listEndpoints(service)
      // The last endpoint of the service is gone.
      if (lost.length === 0 && paths.lostAt !== null) this.#services.delete(service)
      if (lost.length === 0) return []
      paths.probedAt = at
      const count = Math.min(lost.length, isRestoring ? restoreProbes : 1)
      const from = paths.nextProbe
      paths.nextProbe = (from + count) % lost.length
      return Array.from({ length: count }, (_, i) => lost[(from + i) % lost.length])
    })
  }

  /** Forgets an endpoint that is gone or was replaced. */
  forget (endpoint: EndpointId, service: ServiceName): void {
    const paths = this.#services.get(service)
    paths?.failed.delete(endpoint)
    if (paths?.failed.size === 0 && paths.lostAt === null) this.#services.delete(service)
  }

  #isServiceLost ({ failed, firstLostAt, lastConnectedAt }: ServicePaths): boolean {
    return firstLostAt !== null && countLost(failed) >= minLostForAll && lastConnectedAt < firstLostAt
  }

  #find (service: ServiceName): ServicePaths {
    let paths = this.#services.get(service)
    if (paths === undefined) this.#services.set(service, paths = { failed: new Map(), lostAt: null, firstLostAt: null, lastConnectedAt: -Infinity, reconnected: 0, probedAt: -Infinity, nextProbe: 0 })
    return paths
  }
}

function countLost (failed: ReadonlyMap<EndpointId, FailedPath>): number {
  let lost = 0
  for (const { isLost } of failed.values()) if (isLost) lost += 1
  return lost
}
