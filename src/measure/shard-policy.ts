/** The production policy in a simulation: a `Placer` on each box and a `Scheduler` for each shard. */
import { Placer, RetryBudget, Scheduler, assignOwners, brandId, defaultTuning, partitionEngines } from '../core/index.js'
import type { BoxId, EngineId, EngineSpec, LoadReport, ModelName, Placement, PoolName, SchedulerAction, SchedulerEvent, Shard, ShardId, ShardMessage, StreamEnd, Submission, ZoneName } from '../core/index.js'
import type { Policy, PolicyHost } from './policy.js'
import type { SimRequest } from './sim-request.js'

const sameZoneDelayMs = 0.5
const crossZoneDelayMs = 1
const loadsEveryMs = 250
const failureDetectionMs = 2500
// Distance between the attempt numbers of successive attempts; the placer uses the numbers in between, one for each owner that it asks.
const attemptStride = 100
const model = brandId<ModelName>('model')
const pool = brandId<PoolName>('pool')

/** How boxes share the engines. */
export interface SharingOptions {
  /** Only used by `owned`. */
  readonly maxEnginesPerShard: number
  /** `owned`: each shard has one owner. `alone`: every box schedules all engines independently. `credits`: likewise, with an equal share of the places. */
  readonly mode: 'owned' | 'alone' | 'credits'
  /** Null takes the user profile's value. */
  readonly floorPlaces: number | null
}

interface OwnedShard {
  readonly shard: Shard
  readonly scheduler: Scheduler
  owner: BoxId | undefined
}

class ShardPolicy implements Policy {
  #host: PolicyHost
  #sharing: SharingOptions
  #shards = new Map<ShardId, OwnedShard>()
  #placers = new Map<BoxId, Placer>()
  #zones = new Map<BoxId, number>()
  #requests = new Map<string, SimRequest>()
  #granted = new Set<SimRequest>()
  #excluded = new Map<SimRequest, EngineId[]>()
  #retryBudget = new RetryBudget()
  #nextLoadsAt = 0
  #liveBoxes: BoxId[]

  constructor (host: PolicyHost, sharing: SharingOptions) {
    this.#host = host
    this.#sharing = sharing
    this.#liveBoxes = host.boxes.map(box => box.id)
    for (const { id, zone } of host.boxes) {
      this.#zones.set(id, zone)
      this.#placers.set(id, this.#createPlacer(id, zone))
    }
    this.#createShards()
    this.#publishShards()
  }

  handleArrival (request: SimRequest): void {
    this.#requests.set(request.id, request)
    this.#place(request)
  }

  noteFirstToken (request: SimRequest): void {
    this.#placers.get(request.box)?.noteFirstToken(request.id)
  }

  noteFinished (request: SimRequest): void {
    this.#retryBudget.noteSuccess()
    this.#endAttempt(request, 'done')
    this.#removeRequest(request)
  }

  noteCancelled (request: SimRequest): void {
    if (this.#granted.has(request)) this.#endAttempt(request, 'cancelled')
    else this.#placers.get(request.box)?.cancel(request.id)
    this.#removeRequest(request)
  }

  noteFailed (request: SimRequest, engine: EngineId, wasReached: boolean): boolean {
    this.#endAttempt(request, wasReached ? 'engine-failed' : 'engine-unreachable')
    this.#excluded.set(request, [...this.#excluded.get(request) ?? [], engine])
    const isFree = !wasReached || request.receivedTokens > 0
    if (request.attempts < (wasReached ? 3 : 8) && (isFree || this.#retryBudget.take())) {
      this.#place(request)
      return true
    }
    this.#removeRequest(request)
    return false
  }

  noteReport (engine: EngineId, report: LoadReport): void {
    for (const owned of this.#shards.values()) {
      if (owned.shard.engines.includes(engine)) this.#step(owned, { type: 'report', at: this.#host.now(), engine, report })
    }
  }

  tick (): void {
    const at = this.#host.now()
    for (const owned of this.#shards.values()) this.#step(owned, { type: 'tick', at })
    for (const placer of this.#placers.values()) placer.tick()
    if (at < this.#nextLoadsAt) return
    this.#nextLoadsAt = at + loadsEveryMs
    this.#publishLoads()
  }

  noteBoxFailed (box: BoxId): void {
    this.#liveBoxes = this.#liveBoxes.filter(id => id !== box)
    this.#host.schedule(failureDetectionMs, () => {
      for (const owned of this.#shards.values()) {
        if (owned.owner !== box) this.#step(owned, { type: 'boxLost', at: this.#host.now(), box })
      }
      this.#reassignShards(box)
    })
  }

  #createPlacer (box: BoxId, zone: number): Placer {
    return new Placer({
      box,
      zone: formatZone(zone),
      now: () => this.#host.now(),
      random: () => this.#host.random(),
      send: (owner, shard, message) => this.#deliver(box, owner, shard, message),
      isReachable: owner => this.#isReachable(box, owner),
      noteViolation: (rule, detail) => this.#host.noteViolation(rule, detail)
    })
  }

  #createShards (): void {
    const { mode, maxEnginesPerShard } = this.#sharing
    const engines = this.#host.engines.map(engine => ({ id: engine.id, pool, zone: engine.zone }))
    if (mode === 'owned') {
      const shards = partitionEngines(engines, () => [model], maxEnginesPerShard)
      const owners = this.#assignOwners(shards)
      for (const shard of shards) this.#addShard(shard, owners.get(shard.id), 1)
      return
    }
    for (const { id, zone } of this.#host.boxes) {
      const shard: Shard = { id: brandId<ShardId>(`all/${id}`), pool, zone: formatZone(zone), engines: engines.map(one => one.id), models: [model] }
      this.#addShard(shard, id, mode === 'credits' ? 1 / this.#host.boxes.length : 1)
    }
  }

  #addShard (shard: Shard, owner: BoxId | undefined, placeShare: number): void {
    const { places, floorPlaces, shape } = this.#host.user
    const shardEngines = new Set(shard.engines)
    const engines: EngineSpec[] = []
    for (const { id } of this.#host.engines) {
      if (!shardEngines.has(id)) continue
      engines.push({ id, models: [model], places: Math.max(1, Math.round(places * placeShare)), floorPlaces: this.#sharing.floorPlaces ?? floorPlaces, prefillMs: shape.prefillMs })
    }
    const classes = this.#host.user.traffic.map(one => one.class)
    const scheduler = new Scheduler({ ...defaultTuning, classes, engines }, () => this.#host.random())
    this.#shards.set(shard.id, { shard, scheduler, owner })
  }

  #assignOwners (shards: readonly Shard[]): Map<ShardId, BoxId> {
    return assignOwners(shards, this.#liveBoxes.map(id => ({ id, zone: formatZone(this.#zones.get(id) ?? 0) })))
  }

  // A new owner starts with an empty scheduler; placers report running streams to it and resubmit pending requests.
  #reassignShards (failedBox: BoxId): void {
    const owners = this.#assignOwners([...this.#shards.values()].map(owned => owned.shard))
    for (const [id, owned] of [...this.#shards]) {
      if (this.#sharing.mode === 'owned') {
        if (owned.owner !== owners.get(id)) this.#addShard(owned.shard, owners.get(id), 1)
      } else if (owned.owner === failedBox) {
        this.#shards.delete(id)
      }
    }
    this.#publishShards()
  }

  #publishShards (): void {
    for (const [box, placer] of this.#placers) {
      const shards = [...this.#shards.values()].filter(one => this.#sharing.mode === 'owned' || one.owner === box)
      placer.setShards(shards.map(({ shard, owner }) => ({ id: shard.id, zone: shard.zone, models: shard.models, owner })))
    }
  }

  #publishLoads (): void {
    for (const [box, placer] of this.#placers) {
      for (const { shard, scheduler, owner } of this.#shards.values()) {
        if (owner === undefined || !this.#isReachable(box, owner)) continue
        const { load } = scheduler
        this.#host.schedule(owner === box ? 0 : crossZoneDelayMs, () => placer.noteLoads(owner, [[shard.id, load]]))
      }
    }
  }

  #isReachable (box: BoxId, owner: BoxId): boolean {
    return this.#liveBoxes.includes(owner) && (box === owner || this.#host.canReach(box, this.#zones.get(owner) ?? 0))
  }

  #place (request: SimRequest): void {
    const now = this.#host.now()
    const { class: requestClass } = request
    const submission: Submission = {
      request: request.id,
      attempt: (request.attempts + 1) * attemptStride,
      box: request.box,
      class: requestClass.name,
      workspace: request.workspace,
      model,
      promptTokens: request.promptTokens + request.receivedTokens,
      prefix: request.prefix,
      deadline: request.attempts === 0 ? request.arrivedAt + requestClass.firstTokenMs : now + requestClass.firstTokenMs,
      exclude: this.#excluded.get(request) ?? [],
      resumed: request.receivedTokens > 0
    }
    this.#placers.get(request.box)?.place(submission, requestClass.mayWait, placement => this.#handlePlacement(request, placement))
  }

  #handlePlacement (request: SimRequest, placement: Placement): void {
    if (request.outcome !== null) return
    switch (placement.type) {
      case 'granted':
        this.#granted.add(request)
        return this.#host.send(request, placement.engine, placement.priority)
      case 'refused':
        this.#removeRequest(request)
        return this.#host.refuse(request)
    }
  }

  #endAttempt (request: SimRequest, how: StreamEnd): void {
    this.#granted.delete(request)
    this.#placers.get(request.box)?.end(request.id, how, request.receivedTokens)
  }

  #removeRequest (request: SimRequest): void {
    this.#granted.delete(request)
    this.#excluded.delete(request)
    this.#requests.delete(request.id)
  }

  #deliver (from: BoxId, owner: BoxId, shard: ShardId, message: ShardMessage): boolean {
    const owned = this.#shards.get(shard)
    if (owned === undefined || owned.owner !== owner || !this.#isReachable(from, owner)) return false
    if (message.type === 'submit') this.#host.noteSubmitted(from !== owner)
    if (from === owner) {
      this.#handleMessage(owned, message)
      return true
    }
    this.#host.schedule(this.#measureDelay(from, owner), () => {
      if (this.#shards.get(shard) === owned && this.#isReachable(from, owner)) this.#handleMessage(owned, message)
    })
    return true
  }

  #measureDelay (from: BoxId, to: BoxId): number {
    return this.#zones.get(from) === this.#zones.get(to) ? sameZoneDelayMs : crossZoneDelayMs
  }

  #handleMessage (owned: OwnedShard, message: ShardMessage): void {
    const at = this.#host.now()
    if (message.type === 'submit') this.#step(owned, { type: 'submit', at, submission: { ...message.submission, deadline: at + message.leftMs } })
    else this.#step(owned, { ...message, at })
  }

  #step (owned: OwnedShard, event: SchedulerEvent): void {
    for (const action of owned.scheduler.step(event)) this.#perform(owned, action)
  }

  #perform (owned: OwnedShard, action: SchedulerAction): void {
    switch (action.type) {
      case 'grant':
      case 'refuse': {
        const { owner } = owned
        const placer = this.#placers.get(action.box)
        if (owner === undefined || placer === undefined) return
        if (owner === action.box) return placer.receive(owned.shard.id, action)
        return this.#host.schedule(this.#measureDelay(owner, action.box), () => {
          if (this.#isReachable(action.box, owner)) placer.receive(owned.shard.id, action)
        })
      }
      case 'yield': return this.#host.notePreempted()
      case 'violation': return this.#host.noteViolation(action.rule, action.detail)
    }
  }
}

function formatZone (zone: number): ZoneName {
  return brandId<ZoneName>(`zone-${zone}`)
}

/** Creates a factory of the production policy with the given sharing of engines. */
export function createShardPolicy (sharing: SharingOptions): (host: PolicyHost) => Policy {
  return host => new ShardPolicy(host, sharing)
}
