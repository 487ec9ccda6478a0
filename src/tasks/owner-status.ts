import type { BoxId } from '../core/index.js'
import type { BoxStatus, EngineStatus } from '../protocol/index.js'
import type { ShardOwner } from './shard-owner.js'

/** The part of a box's status that describes the shards that it owns. */
export function describeOwnedShards (owner: ShardOwner, box: BoxId): Pick<BoxStatus, 'queues' | 'engines'> {
  const queues: Record<string, number> = {}
  const engines: EngineStatus[] = []
  for (const shard of owner.shards) {
    const scheduler = owner.findScheduler(shard.id)
    if (scheduler === undefined) continue
    for (const [name, size] of scheduler.queueSizes) queues[name] = (queues[name] ?? 0) + size
    for (const engine of scheduler.engines) {
      const { health } = engine
      engines.push({
        id: engine.id,
        zone: shard.zone,
        pool: shard.pool,
        state: engine.isLeaving ? 'leaving' : health.state === 'live' ? health.getOwnState(box) : health.state,
        slow: health.isSlow,
        quick: engine.interactive,
        patient: engine.load - engine.interactive,
        places: engine.spec.places,
        owner: box
      })
    }
  }
  return { queues, engines }
}
