/**
 * How engines are parted into shards, and which box schedules each. Every box
 * works this out for itself from the configuration and the members it knows.
 */
import { chooseByHash, hashText } from './hash.js'
import { brandId } from './ids.js'
import type { BoxId, EngineId, ModelName, PoolName, ShardId, ZoneName } from './ids.js'

/** An engine as it is parted. */
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

/** A shard: its engines, and what they serve. */
export interface Shard {
  readonly id: ShardId
  readonly pool: PoolName
  readonly zone: ZoneName
  readonly engines: readonly EngineId[]
  readonly models: readonly ModelName[]
}

/** Parts engines into shards of about `perShard`, each within a pool and zone. */
export function partEngines (engines: Iterable<ShardEngine>, models: (pool: PoolName) => readonly ModelName[], perShard: number): Shard[] {
  const groups = new Map<string, ShardEngine[]>()
  for (const engine of engines) {
    const key = `${engine.pool}/${engine.zone}`
    const group = groups.get(key) ?? []
    group.push(engine)
    groups.set(key, group)
  }
  const shards: Shard[] = []
  for (const [key, group] of groups) shards.push(...partGroup(key, group, models(group[0].pool), perShard))
  return shards
}

// Engines of a group go to the part with the highest hash, so that one more
// part moves few engines.
function partGroup (key: string, group: readonly ShardEngine[], models: readonly ModelName[], perShard: number): Shard[] {
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
 * The box that schedules each shard: one of its zone where any is left, else
 * any; the highest hash wins, and no box of a zone owns many more than another.
 * Boxes whose views differ can both own a shard for a moment; the engine's own
 * batch limit and priorities hold meanwhile.
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
  const most = Math.ceil(shards.length / boxes.length)
  const owned = new Map<BoxId, number>()
  for (const shard of [...shards].sort((a, b) => (a.id < b.id ? -1 : 1))) {
    const free = boxes.filter(box => (owned.get(box) ?? 0) < most)
    const owner = chooseByHash(shard.id, free)
    if (owner === undefined) continue
    owned.set(owner, (owned.get(owner) ?? 0) + 1)
    owners.set(shard.id, owner)
  }
}

/** How many shards a box uses. */
export interface SubsetSize {
  readonly near: number
  readonly farZones: number
  readonly perFarZone: number
}

/** Bounds that keep a box's traffic the same at any number of shards. */
export const defaultSubset: SubsetSize = { near: 6, farZones: 3, perFarZone: 1 }

/** The shards that a box uses: some of its own zone, a few of some others. */
export function chooseSubset (box: ShardBox, shards: readonly Shard[], size: SubsetSize = defaultSubset): Shard[] {
  const order = (shard: Shard): number => hashText(`${box.id}|${shard.id}`)
  const sorted = [...shards].sort((a, b) => order(a) - order(b))
  const near = sorted.filter(shard => shard.zone === box.zone).slice(0, size.near)
  const zones = [...new Set(sorted.filter(shard => shard.zone !== box.zone).map(shard => shard.zone))].slice(0, size.farZones)
  const far = zones.flatMap(zone => sorted.filter(shard => shard.zone === zone).slice(0, size.perFarZone))
  return [...near, ...far]
}
