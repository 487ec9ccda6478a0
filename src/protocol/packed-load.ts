import type { ShardId, ShardLoad } from '../core/index.js'

/** A shard's load as a tuple: without field names, as loads are sent often. */
export type PackedLoad = readonly [shard: ShardId, places: number, quick: number, patient: number, queued: number, queuedPatient: number]

export function packLoad (shard: ShardId, load: ShardLoad): PackedLoad {
  return [shard, load.places, load.quick, load.patient, load.queued, load.queuedPatient]
}

export function unpackLoad (packed: PackedLoad): readonly [ShardId, ShardLoad] {
  const [shard, places, quick, patient, queued, queuedPatient] = packed
  return [shard, { places, quick, patient, queued, queuedPatient }]
}
