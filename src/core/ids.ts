/**
 * Branded identifiers. The compiler rejects one kind of identifier in place of
 * another, although all are plain strings at run time and on the wire.
 */

declare const brand: unique symbol
type Branded<Name extends string> = string & { readonly [brand]: Name }

/** A request of a caller, unique across all boxes. */
export type RequestId = Branded<'RequestId'>
/** A box, named in its settings. */
export type BoxId = Branded<'BoxId'>
/** An engine of a pool, named in the configuration. */
export type EngineId = Branded<'EngineId'>
/** An availability zone. */
export type ZoneName = Branded<'ZoneName'>
/** A workspace: a customer of the operator. */
export type WorkspaceName = Branded<'WorkspaceName'>
/** A class of requests that share targets and a priority. */
export type ClassName = Branded<'ClassName'>
/** A model that engines serve. */
export type ModelName = Branded<'ModelName'>
/** A pool of engines. */
export type PoolName = Branded<'PoolName'>
/** A service: a target of routes, or a plain service outside the pools of engines. */
export type ServiceName = Branded<'ServiceName'>
/** A shard: engines of one pool and zone that are scheduled by one box. */
export type ShardId = Branded<'ShardId'>

/** A route, named in the routing document. */
export type RouteName = Branded<'RouteName'>
/** One run of an endpoint process: a restarted endpoint gets another. Sent in headers; `isEndpointId` tells which texts can be one. */
export type EndpointId = Branded<'EndpointId'>

/** Identifies what may crash endpoints: repeats of a request, by a digest of its method, address, caller and body, or a part of prompts. */
export type Fingerprint = Branded<'Fingerprint'>
/** Identifies a stream over all requests of its caller: a digest of workspace, route and the id of the request that received its first event. */
export type StreamKey = Branded<'StreamKey'>

/** Brands a plain string without checking it. */
export function brandId<T extends string> (value: string): T {
  return value as T
}
