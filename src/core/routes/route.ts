/**
 * The routing document: which service answers which request and under which
 * promises, whose keys open it, and what callers may send. It is replaced as a
 * whole, under a version that only rises.
 */
import type { RouteName, ServiceName, WorkspaceName } from '../ids.js'

/**
 * What may be done with a request: `repeatable` may run again, `once` may not,
 * `events` is answered with numbered events and may be continued elsewhere only
 * where its route is resumable.
 */
export type RouteKind = 'repeatable' | 'once' | 'events'

/** A service with its share of a route's requests. */
export interface WeightedService {
  readonly service: ServiceName
  readonly weight: number
}

/** One route: the host and the beginning of the path that it takes. */
export interface Route {
  readonly name: RouteName
  readonly host: string
  /** Begins and ends with a slash; the longest that fits a path wins. */
  readonly prefix: string
  readonly kind: RouteKind
  /** The longest that a request is held, ms. */
  readonly timeoutMs: number
  /** Target for the answer, or for its first event, ms. */
  readonly targetMs: number
  /** The longest pause between events that still counts as in time, ms; null where there are no events. */
  readonly pauseMs: number | null
  /** 0 is served first. */
  readonly priority: number
  readonly services: readonly WeightedService[]
  /** Endpoints that one request may be sent to. */
  readonly mostAttempts: number
  /** True where no key is asked for. */
  readonly isPublic: boolean
  /** True where a broken stream may be continued after its last event. */
  readonly resumable: boolean
}

/** How engines hand what they keep of a prompt to one another. */
export interface PromptTransfer {
  /** Size of what is kept of a token, bytes. */
  readonly tokenBytes: number
  /** What an engine's link carries, bytes/ms. */
  readonly bytesPerMs: number
}

/** What is known of the engines of a service. */
export interface EngineProfile {
  /** Requests that run at once. */
  readonly slots: number
  /** Tokens that the memory holds, of running requests and cached prompts. */
  readonly memoryTokens: number
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number
  /** Null where engines can't take prompts from one another. */
  readonly transfer: PromptTransfer | null
}

/** How many endpoints of a service may be ordered, and what they cost. */
export interface EndpointSizing {
  /** Bounds in each zone, on both kinds together. */
  readonly least: number
  readonly most: number
  /** From an order to the first request, ms. */
  readonly bootMs: number
  /** Price of an endpoint that may be taken back, in that of an ordinary one; null where there are none. */
  readonly spotPrice: number | null
  /** Price of an endpoint's second by zone; 1 where a zone is not named. */
  readonly zonePrices: ReadonlyMap<string, number>
}

/** A service that routes lead to. */
export interface RoutedService {
  readonly name: ServiceName
  /** Connections that one endpoint takes from all boxes together. */
  readonly mostConnections: number
  /** Null where endpoints are not ordered. */
  readonly sizing: EndpointSizing | null
  /** Null for a plain service. */
  readonly engine: EngineProfile | null
}

/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerMs: number
  /** How long a connection may rest between requests, ms. */
  readonly idleMs: number
}

/** A workspace and the keys that open it. */
export interface KeyedWorkspace {
  readonly name: WorkspaceName
  readonly keys: readonly string[]
  /** Goes before the route's; null for none. */
  readonly priority: number | null
}

/** Everything that routes requests, as one value. */
export interface RoutingDocument {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly RoutedService[]
  readonly limits: CallerLimits
  /** Null where no request needs a key. */
  readonly workspaces: readonly KeyedWorkspace[] | null
}

/** Bounds that hold where a document names none. */
export const defaultCallerLimits: CallerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 2 ** 20,
  headerMs: 10_000,
  idleMs: 60_000
}

/** The lowest rank that endpoints know. */
const lowestRank = 9

/**
 * The rank of a request, 0 first. The kind of request goes first, as a question
 * that a caller waits for is never put back for a draft, whoever asks; among
 * those of one kind the workspace's priority decides. `ranksPerRoute`: one more
 * than the largest priority of a workspace.
 */
export function rankRequest (route: Route, workspace: KeyedWorkspace | null, ranksPerRoute: number): number {
  const second = workspace?.priority ?? ranksPerRoute - 1
  return Math.max(0, Math.min(lowestRank, route.priority * ranksPerRoute + second))
}
