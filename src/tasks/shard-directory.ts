import type { Configuration, EngineEntry } from '../config/index.js'
import { readSchedulerConfig } from '../config/index.js'
import { assignOwners, chooseSubset, partEngines } from '../core/index.js'
import type { BoxId, EngineId, PlacerShard, SchedulerConfig, Shard, ShardBox, ShardId } from '../core/index.js'

/** Which shards there are, and which box owns each, as far as this box knows. */
export class ShardDirectory {
  #self: ShardBox
  #perShard: number
  #shards: readonly Shard[] = []
  #byEngine = new Map<EngineId, ShardId>()
  #owners = new Map<ShardId, BoxId>()
  #partedFrom: readonly unknown[] = []

  constructor (self: ShardBox, perShard: number) {
    this.#self = self
    this.#perShard = perShard
  }

  /** The shards that this box schedules. */
  get own (): readonly Shard[] {
    return this.#shards.filter(shard => this.#owners.get(shard.id) === this.#self.id)
  }

  /** The shards that this box uses, with their owners. */
  get used (): PlacerShard[] {
    return chooseSubset(this.#self, this.#shards).map(({ id, zone, models }) => ({ id, zone, models, owner: this.#owners.get(id) }))
  }

  findShard (engine: EngineId): ShardId | undefined { return this.#byEngine.get(engine) }

  /** Takes the configuration and the boxes as they are now. */
  update (configuration: Configuration, boxes: readonly ShardBox[]): void {
    this.#part(configuration)
    this.#owners = assignOwners(this.#shards, boxes)
  }

  // Engines are parted anew only when their section or the pools have changed.
  #part ({ engines, pools }: Configuration): void {
    if (this.#partedFrom[0] === engines && this.#partedFrom[1] === pools) return
    this.#partedFrom = [engines, pools]
    this.#shards = partEngines(engines.values(), pool => pools.get(pool)?.models ?? [], this.#perShard)
    this.#byEngine = new Map(this.#shards.flatMap(shard => shard.engines.map(engine => [engine, shard.id] as const)))
  }
}

/** What the scheduler of a shard is told. */
export function configureShard (shard: Shard, configuration: Configuration): SchedulerConfig {
  const own = new Set(shard.engines)
  return readSchedulerConfig(configuration, engine => own.has(engine.id))
}

/** The engines of shards whose pool gives load reports. */
export function listReporting (shards: readonly Shard[], configuration: Configuration): EngineEntry[] {
  const reporting: EngineEntry[] = []
  for (const id of shards.flatMap(shard => shard.engines)) {
    const engine = configuration.engines.get(id)
    if (engine === undefined || configuration.pools.get(engine.pool)?.protocol !== 'wrenlane') continue
    reporting.push(engine)
  }
  return reporting
}
