/**
 * Partitions engines into shards and assigns each shard to a box that schedules
 * it. Every box computes this on its own from the configuration and its view of
 * the membership.
 */
import { chooseByHash, hashText } from './hash.js'
import { brandId } from './ids.js'
import type { BoxId, EngineId, ModelName, PoolName, ShardId, ZoneName } from './ids.js'

export interface ShardEngine {
  readonly id: EngineId
  readonly pool: PoolName
  readonly zone: ZoneName
}

/** A box that can own shards. */
export interface ShardBox {
  readonly id: BoxId
  readonly zone: ZoneName
}

export interface Shard {
  readonly id: ShardId
  readonly pool: PoolName
  readonly zone: ZoneName
  readonly engines: readonly EngineId[]
  readonly models: readonly ModelName[]
}

/** Partitions engines into shards of about `perShard` engines, each within one pool and zone. */
export function partitionEngines (engines: Iterable<ShardEngine>, models: (pool: PoolName) => readonly ModelName[], perShard: number): Shard[] {
  const groups = new Map<string, ShardEngine[]>()
  for (const engine of engines) {
    const key = `${engine.pool}/${engine.zone}`
    const group = groups.get(key) ?? []
    group.push(engine)
    groups.set(key, group)
  }
  const shards: Shard[] = []
  for (const [key, group] of groups) shards.push(...partitionGroup(key, group, models(group[0].pool), perShard))
  return shards
}

// Rendezvous hashing: adding a part moves few engines.
function partitionGroup (key: string, group: readonly ShardEngine[], models: readonly ModelName[], perShard: number): Shard[] {
  const names = Array.from({ length: Math.ceil(group.length / perShard) }, (_, i) => String(i))
  const parts = new Map<string, EngineId[]>()
  for (const engine of group) {
    const part = chooseByHash(engine.id, names) ?? '0'
    const engines = parts.get(part) ?? []
    engines.push(engine.id)
    parts.set(part, engines)
  }
  const { pool, zone } = group[0]
  return [...parts].sort().map(([part, engines]) => ({ id: brandId<ShardId>(`${key}/${part}`), pool, zone, engines, models }))
}

/**
 * Assigns each shard to a box of its zone, or to any box if the zone has none, by
 * rendezvous hashing with an even upper bound per box. Boxes with different views
 * of the membership may both own a shard temporarily; meanwhile the engine's own
 * batch limit and priorities apply.
 */
export function assignOwners (shards: readonly Shard[], boxes: readonly ShardBox[]): Map<ShardId, BoxId> {
  const owners = new Map<ShardId, BoxId>()
  for (const zone of new Set(shards.map(shard => shard.zone))) {
    const near = boxes.filter(box => box.zone === zone).map(box => box.id)
    const candidates = near.length > 0 ? near : boxes.map(box => box.id)
    assignZone(shards.filter(shard => shard.zone === zone), candidates, owners)
  }
  return owners
}

function assignZone (shards: readonly Shard[], boxes: readonly BoxId[], owners: Map<ShardId, BoxId>): void {
  if (boxes.length === 0) return
  const maxShards = Math.ceil(shards.length / boxes.length)
  const owned = new Map<BoxId, number>()
  for (const shard of [...shards].sort((a, b) => (a.id < b.id ? -1 : 1))) {
    const candidates = boxes.filter(box => (owned.get(box) ?? 0) < maxShards)
    const owner = chooseByHash(shard.id, candidates)
    if (owner === undefined) continue
    owned.set(owner, (owned.get(owner) ?? 0) + 1)
    owners.set(shard.id, owner)
  }
}

/** Number of shards that a box submits requests to. */
export interface SubsetSize {
  readonly near: number
  readonly farZones: number
  readonly perFarZone: number
}

/** Keeps the traffic of a box independent of the number of shards. */
export const defaultSubset: SubsetSize = { near: 6, farZones: 3, perFarZone: 1 }

/** The shards that a box submits to: some of its own zone and a few of other zones, by hash. */
export function chooseSubset (box: ShardBox, shards: readonly Shard[], size: SubsetSize = defaultSubset): Shard[] {
  const order = (shard: Shard): number => hashText(`${box.id}|${shard.id}`)
  const sorted = [...shards].sort((a, b) => order(a) - order(b))
  const near = sorted.filter(shard => shard.zone === box.zone).slice(0, size.near)
  const zones = [...new Set(sorted.filter(shard => shard.zone !== box.zone).map(shard => shard.zone))].slice(0, size.farZones)
  const far = zones.flatMap(zone => sorted.filter(shard => shard.zone === zone).slice(0, size.perFarZone))
  return [...near, ...far]
}
