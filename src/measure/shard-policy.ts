/** The product's own decisions in a run: `Placer` in each box, `Scheduler` in each owner. */
import { Placer, RetryBudget, Scheduler, assignOwners, brandId, defaultTuning, partEngines } from '../core/index.js'
import type { BoxId, EngineId, EngineSpec, LoadReport, ModelName, Placement, PoolName, SchedulerAction, SchedulerEvent, Shard, ShardId, ShardWord, StreamEnd, Submission, ZoneName } from '../core/index.js'
import type { Policy, PolicyHost } from './policy.js'
import type { SimRequest } from './sim-request.js'

const nearMs = 0.5
const farMs = 1
const loadsEveryMs = 250
const lossNoticedMs = 2500
// As chat-exchange.ts has it.
const attemptsApart = 100
const model = brandId<ModelName>('model')
const pool = brandId<PoolName>('pool')

/** How engines are shared among boxes. */
export interface Sharing {
  /** Engines of a shard at most. */
  readonly perShard: number
  /** `owned`: each shard has one owner. `alone`: every box schedules all engines by itself. `credits`: likewise, on an even part of the places. */
  readonly way: 'owned' | 'alone' | 'credits'
  readonly floorPlaces: number | null
}

interface Owned {
  readonly shard: Shard
  readonly scheduler: Scheduler
  owner: BoxId | undefined
}

class ShardPolicy implements Policy {
  #host: PolicyHost
  #sharing: Sharing
  #shards = new Map<ShardId, Owned>()
  #placers = new Map<BoxId, Placer>()
  #zones = new Map<BoxId, number>()
  #requests = new Map<string, SimRequest>()
  #placed = new Set<SimRequest>()
  #excluded = new Map<SimRequest, EngineId[]>()
  #budget = new RetryBudget()
  #loadsAt = 0
  #alive: BoxId[]

  constructor (host: PolicyHost, sharing: Sharing) {
    this.#host = host
    this.#sharing = sharing
    this.#alive = host.boxes.map(box => box.id)
    for (const { id, zone } of host.boxes) {
      this.#zones.set(id, zone)
      this.#placers.set(id, this.#createPlacer(id, zone))
    }
    this.#createShards()
    this.#tellShards()
  }

  arrive (request: SimRequest): void {
    this.#requests.set(request.id, request)
    this.#place(request)
  }

  noteFirstToken (request: SimRequest): void {
    this.#placers.get(request.box)?.noteFirstToken(request.id)
  }

  noteFinished (request: SimRequest): void {
    this.#budget.noteSuccess()
    this.#end(request, 'done')
    this.#forget(request)
  }

  noteLeft (request: SimRequest): void {
    if (this.#placed.has(request)) this.#end(request, 'cancelled')
    else this.#placers.get(request.box)?.cancel(request.id)
    this.#forget(request)
  }

  noteFailed (request: SimRequest, engine: EngineId, wasReached: boolean): boolean {
    this.#end(request, wasReached ? 'engine-failed' : 'engine-unreachable')
    this.#excluded.set(request, [...this.#excluded.get(request) ?? [], engine])
    if (request.attempts < (wasReached ? 3 : 8) && (request.given > 0 || this.#budget.take())) {
      this.#place(request)
      return true
    }
    this.#forget(request)
    return false
  }

  report (engine: EngineId, report: LoadReport): void {
    for (const owned of this.#shards.values()) {
      if (owned.shard.engines.includes(engine)) this.#step(owned, { type: 'report', at: this.#host.now(), engine, report })
    }
  }

  tick (): void {
    const at = this.#host.now()
    for (const owned of this.#shards.values()) this.#step(owned, { type: 'tick', at })
    for (const placer of this.#placers.values()) placer.tick()
    if (at < this.#loadsAt) return
    this.#loadsAt = at + loadsEveryMs
    this.#tellLoads()
  }

  noteBoxLost (box: BoxId): void {
    this.#alive = this.#alive.filter(id => id !== box)
    this.#host.after(lossNoticedMs, () => {
      for (const owned of this.#shards.values()) {
        if (owned.owner !== box) this.#step(owned, { type: 'boxLost', at: this.#host.now(), box })
      }
      this.#moveOwners(box)
    })
  }

  #createPlacer (box: BoxId, zone: number): Placer {
    return new Placer({
      box,
      zone: nameZone(zone),
      now: () => this.#host.now(),
      random: () => this.#host.random(),
      send: (owner, shard, word) => this.#deliver(box, owner, shard, word),
      isReachable: owner => this.#isReachable(box, owner),
      noteViolation: (rule, detail) => this.#host.noteViolation(rule, detail)
    })
  }

  #createShards (): void {
    const { way, perShard } = this.#sharing
    const engines = this.#host.engines.map(engine => ({ id: engine.id, pool, zone: engine.zone }))
    if (way === 'owned') {
      const shards = partEngines(engines, () => [model], perShard)
      const owners = this.#assign(shards)
      for (const shard of shards) this.#addShard(shard, owners.get(shard.id), 1)
      return
    }
    for (const { id, zone } of this.#host.boxes) {
      const shard: Shard = { id: brandId<ShardId>(`all/${id}`), pool, zone: nameZone(zone), engines: engines.map(one => one.id), models: [model] }
      this.#addShard(shard, id, way === 'credits' ? 1 / this.#host.boxes.length : 1)
    }
  }

  #addShard (shard: Shard, owner: BoxId | undefined, part: number): void {
    const { places, floorPlaces, shape } = this.#host.user
    const own = new Set(shard.engines)
    const engines: EngineSpec[] = []
    for (const { id } of this.#host.engines) {
      if (!own.has(id)) continue
      engines.push({ id, models: [model], places: Math.max(1, Math.round(places * part)), floorPlaces: this.#sharing.floorPlaces ?? floorPlaces, prefillMs: shape.prefillMs })
    }
    const classes = this.#host.user.traffic.map(one => one.class)
    const scheduler = new Scheduler({ ...defaultTuning, classes, engines }, () => this.#host.random())
    this.#shards.set(shard.id, { shard, scheduler, owner })
  }

  #assign (shards: readonly Shard[]): Map<ShardId, BoxId> {
    return assignOwners(shards, this.#alive.map(id => ({ id, zone: nameZone(this.#zones.get(id) ?? 0) })))
  }

  // A new owner begins without the old one's queue: boxes tell it what they have.
  #moveOwners (lost: BoxId): void {
    const owners = this.#assign([...this.#shards.values()].map(owned => owned.shard))
    for (const [id, owned] of [...this.#shards]) {
      if (this.#sharing.way === 'owned') {
        if (owned.owner !== owners.get(id)) this.#addShard(owned.shard, owners.get(id), 1)
      } else if (owned.owner === lost) {
        this.#shards.delete(id)
      }
    }
    this.#tellShards()
  }

  #tellShards (): void {
    for (const [box, placer] of this.#placers) {
      const shards = [...this.#shards.values()].filter(one => this.#sharing.way === 'owned' || one.owner === box)
      placer.setShards(shards.map(({ shard, owner }) => ({ id: shard.id, zone: shard.zone, models: shard.models, owner })))
    }
  }

  #tellLoads (): void {
    for (const [box, placer] of this.#placers) {
      for (const { shard, scheduler, owner } of this.#shards.values()) {
        if (owner === undefined || !this.#isReachable(box, owner)) continue
        const { load } = scheduler
        this.#host.after(owner === box ? 0 : farMs, () => placer.noteLoads(owner, [[shard.id, load]]))
      }
    }
  }

  #isReachable (box: BoxId, owner: BoxId): boolean {
    return this.#alive.includes(owner) && (box === owner || this.#host.canReach(box, this.#zones.get(owner) ?? 0))
  }

  #place (request: SimRequest): void {
    const now = this.#host.now()
    const { class: wanted } = request
    const submission: Submission = {
      request: request.id,
      attempt: (request.attempts + 1) * attemptsApart,
      box: request.box,
      class: wanted.name,
      workspace: request.workspace,
      model,
      promptTokens: request.promptTokens + request.given,
      prefix: request.prefix,
      deadline: request.attempts === 0 ? request.arrivedAt + wanted.firstTokenMs : now + wanted.firstTokenMs,
      exclude: this.#excluded.get(request) ?? [],
      resumed: request.given > 0
    }
    this.#placers.get(request.box)?.place(submission, wanted.mayWait, placement => this.#takePlacement(request, placement))
  }

  #takePlacement (request: SimRequest, placement: Placement): void {
    if (request.end !== null) return
    switch (placement.type) {
      case 'granted':
        this.#placed.add(request)
        return this.#host.send(request, placement.engine, placement.priority)
      case 'refused':
        this.#forget(request)
        return this.#host.refuse(request)
    }
  }

  #end (request: SimRequest, how: StreamEnd): void {
    this.#placed.delete(request)
    this.#placers.get(request.box)?.end(request.id, how, request.given)
  }

  #forget (request: SimRequest): void {
    this.#placed.delete(request)
    this.#excluded.delete(request)
    this.#requests.delete(request.id)
  }

  #deliver (from: BoxId, owner: BoxId, shard: ShardId, word: ShardWord): boolean {
    const owned = this.#shards.get(shard)
    if (owned === undefined || owned.owner !== owner || !this.#isReachable(from, owner)) return false
    if (word.type === 'submit') this.#host.noteSubmitted(from !== owner)
    if (from === owner) {
      this.#take(owned, word)
      return true
    }
    this.#host.after(this.#measureDelay(from, owner), () => {
      if (this.#shards.get(shard) === owned && this.#isReachable(from, owner)) this.#take(owned, word)
    })
    return true
  }

  #measureDelay (from: BoxId, to: BoxId): number {
    return this.#zones.get(from) === this.#zones.get(to) ? nearMs : farMs
  }

  #take (owned: Owned, word: ShardWord): void {
    const at = this.#host.now()
    if (word.type === 'submit') this.#step(owned, { type: 'submit', at, submission: { ...word.submission, deadline: at + word.leftMs } })
    else this.#step(owned, { ...word, at })
  }

  #step (owned: Owned, event: SchedulerEvent): void {
    for (const action of owned.scheduler.step(event)) this.#perform(owned, action)
  }

  #perform (owned: Owned, action: SchedulerAction): void {
    switch (action.type) {
      case 'grant':
      case 'refuse': {
        const { owner } = owned
        const placer = this.#placers.get(action.box)
        if (owner === undefined || placer === undefined) return
        if (owner === action.box) return placer.receive(owned.shard.id, action)
        return this.#host.after(this.#measureDelay(owner, action.box), () => {
          if (this.#isReachable(action.box, owner)) placer.receive(owned.shard.id, action)
        })
      }
      case 'yield': return this.#host.notePaused()
      case 'violation': return this.#host.noteViolation(action.rule, action.detail)
    }
  }
}

function nameZone (zone: number): ZoneName {
  return brandId<ZoneName>(`zone-${zone}`)
}

/** A maker of the product's policy with one way of sharing engines. */
export function createShardPolicy (sharing: Sharing): (host: PolicyHost) => Policy {
  return host => new ShardPolicy(host, sharing)
}
