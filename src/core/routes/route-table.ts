import { isHeaderText } from '../header-text.js'
import type { ServiceName } from '../ids.js'
import type { KeyedWorkspace, Route, RoutedService, RoutingDocument } from './route.js'

/** A routing document with indexes for lookups. Immutable: a newer document gets a new table. */
export class RouteTable {
  readonly document: RoutingDocument
  #byHost = new Map<string, Map<string, Route>>()
  #services = new Map<ServiceName, RoutedService>()
  #byKey = new Map<string, KeyedWorkspace>()
  /** Largest priority of a workspace plus one. */
  readonly ranksPerRoute: number
  /** Number of workspaces whose names can't be sent to endpoints; their keys are unknown. */
  droppedWorkspaces = 0

  constructor (document: RoutingDocument) {
    this.document = document
    this.ranksPerRoute = 1 + (document.workspaces ?? []).reduce((most, workspace) => Math.max(most, workspace.priority ?? 0), 0)
    for (const route of document.routes) {
      const host = route.host.toLowerCase()
      const routes = this.#byHost.get(host) ?? new Map<string, Route>()
      routes.set(route.prefix, route)
      this.#byHost.set(host, routes)
    }
    for (const service of document.services) this.#services.set(service.name, service)
    for (const workspace of document.workspaces ?? []) {
      // A registry of an earlier build may have accepted it.
      if (!isHeaderText(workspace.name)) this.droppedWorkspaces += 1
      else for (const key of workspace.keys) this.#byKey.set(key, workspace)
    }
  }

  get version (): number { return this.document.version }

  /** True if requests need a key, except on public routes. */
  get needsKeys (): boolean { return this.document.workspaces !== null }

  /** The route with the longest matching prefix. `host` may include a port, `path` a query. */
  findRoute (host: string, path: string): Route | undefined {
    const routes = this.#byHost.get(host.replace(/:\d+$/, '').toLowerCase())
    if (routes === undefined) return undefined
    const query = path.indexOf('?')
    const end = query < 0 ? path.length : query
    for (let slash = path.lastIndexOf('/', end - 1); slash >= 0; slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1)) {
      const route = routes.get(path.slice(0, slash + 1))
      if (route !== undefined) return route
    }
    return undefined
  }

  findService (name: ServiceName): RoutedService | undefined { return this.#services.get(name) }

  /** The workspace that a key belongs to. */
  findWorkspace (key: string): KeyedWorkspace | undefined { return this.#byKey.get(key) }
}

/** Picks one of a route's services by weight. `draw`: a uniform random number in [0, 1). */
export function pickService (route: Route, draw: number): ServiceName {
  const total = route.services.reduce((sum, one) => sum + one.weight, 0)
  let remaining = draw * total
  for (const { service, weight } of route.services) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.services[route.services.length - 1].service
}
