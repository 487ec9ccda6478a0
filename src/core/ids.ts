/**
 * Branded identifiers. A branded string can't be passed where another kind of
 * identifier is wanted, although all are plain strings on the wire.
 */

declare const brand: unique symbol
type Branded<Name extends string> = string & { readonly [brand]: Name }

/** One request of a caller, unique over all boxes. */
export type RequestId = Branded<'RequestId'>
/** One box of the system, named in its settings. */
export type BoxId = Branded<'BoxId'>
/** One engine of a pool, named in the configuration. */
export type EngineId = Branded<'EngineId'>
/** An availability zone. */
export type ZoneName = Branded<'ZoneName'>
/** A workspace of an operator's customer. */
export type WorkspaceName = Branded<'WorkspaceName'>
/** A class of requests, with its targets and priority. */
export type ClassName = Branded<'ClassName'>
/** A model that engines serve. */
export type ModelName = Branded<'ModelName'>
/** A pool of engines. */
export type PoolName = Branded<'PoolName'>
/** A plain service that stands beside the engines. */
export type ServiceName = Branded<'ServiceName'>
/** One shard: the engines of a pool in one zone that one box schedules. */
export type ShardId = Branded<'ShardId'>

/** A route, named in the routing document. */
export type RouteName = Branded<'RouteName'>
/** One start of an endpoint: a restarted endpoint has another. */
export type EndpointId = Branded<'EndpointId'>

/** What makes two arrivals the same request: a digest of its method, address, caller and body. */
export type Fingerprint = Branded<'Fingerprint'>

/** Brands a plain string. The caller vouches for the kind. */
export function brandId<T extends string> (value: string): T {
  return value as T
}
