/**
 * The routing document: routes to services with their guarantees, workspaces with
 * their keys, and limits on callers. It is replaced as a whole; its version only
 * increases.
 */
import type { RouteName, ServiceName, WorkspaceName } from '../ids.js'

/**
 * Whether a request can be retried: `repeatable` may run again, `once` may not;
 * `events` is answered by a stream of numbered events, which may be resumed at
 * another endpoint only if the route is resumable.
 */
export type RouteKind = 'repeatable' | 'once' | 'events'

/** A service with its weight within a route. */
export interface WeightedService {
  readonly service: ServiceName
  readonly weight: number
}

/** A route, matched by host and path prefix. */
export interface Route {
  readonly name: RouteName
  readonly host: string
  /** Starts and ends with a slash; the longest prefix of a path wins. */
  readonly prefix: string
  readonly kind: RouteKind
  /** Maximum time for a request, ms. */
  readonly timeoutMs: number
  /** Target for the response, or for its first event, ms. */
  readonly targetMs: number
  /** Target for the longest gap between events, ms; null if the route has no events. */
  readonly pauseMs: number | null
  /** 0 is served first. */
  readonly priority: number
  readonly services: readonly WeightedService[]
  /** Maximum number of endpoints that one request is sent to. */
  readonly mostAttempts: number
  /** True if no key is required. */
  readonly isPublic: boolean
  /** True if an interrupted stream may be resumed after its last event. */
  readonly resumable: boolean
}

/** Transfer of cached prompts between engines. */
export interface PromptTransfer {
  /** Size of the cache entry of a token, bytes. */
  readonly tokenBytes: number
  /** Bandwidth of an engine's link, bytes/ms. */
  readonly bytesPerMs: number
}

/** Properties of the engines of a service. */
export interface EngineProfile {
  /** Maximum number of concurrent requests. */
  readonly slots: number
  /** Memory capacity for running requests and cached prompts, tokens. */
  readonly memoryTokens: number
  /** Tokens per event of a stream. */
  readonly tokensPerEvent: number
  /** Null if engines cannot fetch cached prompts from one another. */
  readonly transfer: PromptTransfer | null
}

/** Bounds and prices for provisioning endpoints of a service. */
export interface EndpointSizing {
  /** Bounds per zone on spot and on-demand endpoints together. */
  readonly least: number
  readonly most: number
  /** Time from ordering an endpoint to its first request, ms. */
  readonly bootMs: number
  /** Price of a spot endpoint relative to an on-demand one; null if there are no spot endpoints. */
  readonly spotPrice: number | null
  /** Relative price of an endpoint per second by zone; 1 for zones that are not listed. */
  readonly zonePrices: ReadonlyMap<string, number>
}

/** A service that routes refer to. */
export interface RoutedService {
  readonly name: ServiceName
  /** Maximum number of connections to one endpoint from all boxes together. */
  readonly mostConnections: number
  /** Null if endpoints are not provisioned automatically. */
  readonly sizing: EndpointSizing | null
  /** Null if the endpoints are not engines. */
  readonly engine: EngineProfile | null
}

/** Limits on the sizes and durations of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerMs: number
  /** Maximum idle time of a connection between requests, ms. */
  readonly idleMs: number
}

/** A workspace and its keys. */
export interface KeyedWorkspace {
  readonly name: WorkspaceName
  readonly keys: readonly string[]
  /** Decides among requests of routes with equal priority, 0 first; null counts as the lowest. */
  readonly priority: number | null
}

export interface RoutingDocument {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly RoutedService[]
  readonly limits: CallerLimits
  /** Null if no request needs a key. */
  readonly workspaces: readonly KeyedWorkspace[] | null
}

/** Limits for documents that specify none. */
export const defaultCallerLimits: CallerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 2 ** 20,
  headerMs: 10_000,
  idleMs: 60_000
}

/** The largest rank that endpoints support; it is served last. */
const maxRank = 9

/**
 * The scheduling rank of a request, 0 first. The route's priority dominates, so
 * that a question that a caller waits for is never delayed by a draft, whichever
 * workspace sends it; the workspace's priority decides within a route's priority.
 * `ranksPerRoute`: largest priority of a workspace plus one.
 */
export function rankRequest (route: Route, workspace: KeyedWorkspace | null, ranksPerRoute: number): number {
  const second = workspace?.priority ?? ranksPerRoute - 1
  return Math.max(0, Math.min(maxRank, route.priority * ranksPerRoute + second))
}
