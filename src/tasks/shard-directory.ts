import type { Configuration, EngineEntry } from '../config/index.js'
import { readSchedulerConfig } from '../config/index.js'
import { assignOwners, chooseSubset, partitionEngines } from '../core/index.js'
import type { BoxId, EngineId, PlacerShard, SchedulerConfig, Shard, ShardBox, ShardId } from '../core/index.js'

/** The shards and the box that owns each, computed from this box's view of the configuration and membership. */
export class ShardDirectory {
  #self: ShardBox
  #enginesPerShard: number
  #shards: readonly Shard[] = []
  #byEngine = new Map<EngineId, ShardId>()
  #owners = new Map<ShardId, BoxId>()
  #partitionedFrom: readonly unknown[] = []

  constructor (self: ShardBox, enginesPerShard: number) {
    this.#self = self
    this.#enginesPerShard = enginesPerShard
  }

  /** The shards that this box schedules. */
  get ownShards (): readonly Shard[] {
    return this.#shards.filter(shard => this.#owners.get(shard.id) === this.#self.id)
  }

  /** The shards that this box submits requests to, with their owners. */
  get usedShards (): PlacerShard[] {
    return chooseSubset(this.#self, this.#shards).map(({ id, zone, models }) => ({ id, zone, models, owner: this.#owners.get(id) }))
  }

  findShard (engine: EngineId): ShardId | undefined { return this.#byEngine.get(engine) }

  /** Recomputes shards and owners. `boxes`: all that can own shards, including this one. */
  update (configuration: Configuration, boxes: readonly ShardBox[]): void {
    this.#partition(configuration)
    this.#owners = assignOwners(this.#shards, boxes)
  }

  // Partitions engines again only if the engines or pools in the configuration have changed.
  #partition ({ engines, pools }: Configuration): void {
    if (this.#partitionedFrom[0] === engines && this.#partitionedFrom[1] === pools) return
    this.#partitionedFrom = [engines, pools]
    this.#shards = partitionEngines(engines.values(), pool => pools.get(pool)?.models ?? [], this.#enginesPerShard)
    this.#byEngine = new Map(this.#shards.flatMap(shard => shard.engines.map(engine => [engine, shard.id] as const)))
  }
}

/** The scheduler configuration for a shard's engines. */
export function configureShard (shard: Shard, configuration: Configuration): SchedulerConfig {
  const own = new Set(shard.engines)
  return readSchedulerConfig(configuration, engine => own.has(engine.id))
}

/** The engines of the given shards whose pool speaks a protocol with load reports. */
export function listReportingEngines (shards: readonly Shard[], configuration: Configuration): EngineEntry[] {
  const reporting: EngineEntry[] = []
  for (const id of shards.flatMap(shard => shard.engines)) {
    const engine = configuration.engines.get(id)
    if (engine === undefined || configuration.pools.get(engine.pool)?.protocol !== 'wrenlane') continue
    reporting.push(engine)
  }
  return reporting
}
