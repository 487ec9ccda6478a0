/**
 * Runs the schedulers of the shards that are assigned to this box. Messages from
 * boxes are queued in an inbox and processed one at a time; grants and refusals go
 * back through the host.
 */
import { Scheduler } from '../core/index.js'
import type { BoxId, EngineId, Shard, ShardReply, ShardId, ShardLoad, ShardMessage, SchedulerAction, SchedulerConfig, SchedulerEvent } from '../core/index.js'
import { Inbox } from '../runtime/index.js'

/** Functions of the box that the owner depends on. */
export interface ShardOwnerHost {
  now (): number
  random (): number
  reply (box: BoxId, shard: ShardId, reply: ShardReply): void
  noteViolation (rule: string, detail: string): void
  noteYield (request: string, engine: string, to: string): void
}

interface OwnedShard {
  readonly shard: Shard
  readonly scheduler: Scheduler
}

type OwnerInput =
  | { readonly type: 'event', readonly shard: ShardId, readonly event: SchedulerEvent }
  | { readonly type: 'tick' }

const tickIntervalMs = 15
/** While no request is queued, only one in this many ticks is processed. */
const idleTickDivisor = 10
const maxInboxMessages = 50_000

export class ShardOwner {
  #host: ShardOwnerHost
  #owned = new Map<ShardId, OwnedShard>()
  #inbox = new Inbox<OwnerInput>(maxInboxMessages)
  #timer: NodeJS.Timeout
  #tickCount = 0

  constructor (host: ShardOwnerHost) {
    this.#host = host
    this.#inbox.run(input => this.#process(input))
    this.#timer = setInterval(() => this.#tick(), tickIntervalMs)
  }

  /** The shards that are currently owned. */
  get shards (): readonly Shard[] { return [...this.#owned.values()].map(owned => owned.shard) }

  /** The load of each owned shard, as reported to other boxes. */
  get loads (): (readonly [ShardId, ShardLoad])[] {
    return [...this.#owned].map(([id, owned]) => [id, owned.scheduler.load])
  }

  owns (shard: ShardId): boolean { return this.#owned.has(shard) }

  findScheduler (shard: ShardId): Scheduler | undefined { return this.#owned.get(shard)?.scheduler }

  /** Replaces the set of owned shards. Shards that were already owned keep their scheduler state; all others are dropped. */
  assign (shards: readonly Shard[], configure: (shard: Shard) => SchedulerConfig): void {
    const next = new Map<ShardId, OwnedShard>()
    for (const shard of shards) {
      const existing = this.#owned.get(shard.id)
      const schedulerConfig = configure(shard)
      const scheduler = existing?.scheduler ?? new Scheduler(schedulerConfig, () => this.#host.random())
      next.set(shard.id, { shard, scheduler })
      if (existing !== undefined) this.#step(shard.id, scheduler, { type: 'configure', at: this.#host.now(), config: schedulerConfig })
    }
    this.#owned = next
  }

  /** Queues a message from a box. Returns false if the shard isn't owned, or if a submission finds the inbox full. */
  receive (shard: ShardId, message: ShardMessage): boolean {
    if (!this.#owned.has(shard)) return false
    const event = this.#toEvent(message)
    if (event.type === 'submit') return this.#inbox.offer({ type: 'event', shard, event })
    this.#inbox.post({ type: 'event', shard, event })
    return true
  }

  /** Queues a load report, a change of the cache or a drain of an engine. */
  noteEngine (shard: ShardId, event: Extract<SchedulerEvent, { type: 'report' | 'evicted' | 'cacheState' | 'drain' }>): void {
    this.#inbox.post({ type: 'event', shard, event })
  }

  /** Discards all requests of a box that is gone. */
  removeBox (box: BoxId): void {
    for (const shard of this.#owned.keys()) {
      this.#inbox.post({ type: 'event', shard, event: { type: 'boxLost', at: this.#host.now(), box } })
    }
  }

  drain (engine: EngineId, leaving: boolean): void {
    for (const { shard } of this.#owned.values()) {
      if (shard.engines.includes(engine)) this.noteEngine(shard.id, { type: 'drain', at: this.#host.now(), engine, leaving })
    }
  }

  close (): void {
    clearInterval(this.#timer)
    this.#inbox.close()
  }

  // With no queued requests there are no deadlines to check, so most ticks are skipped.
  #tick (): void {
    this.#tickCount += 1
    const isIdle = [...this.#owned.values()].every(owned => !owned.scheduler.hasWaiting)
    if (!isIdle || this.#tickCount % idleTickDivisor === 0) this.#inbox.post({ type: 'tick' })
  }

  // Boxes send deadlines as remaining time because their clocks differ.
  #toEvent (message: ShardMessage): SchedulerEvent {
    const at = this.#host.now()
    switch (message.type) {
      case 'submit': return { type: 'submit', at, submission: { ...message.submission, deadline: at + message.leftMs } }
      case 'adopt': return { ...message, at }
      case 'cancel': return { ...message, at }
      case 'firstToken': return { ...message, at }
      case 'end': return { ...message, at }
    }
  }

  #process (input: OwnerInput): void {
    switch (input.type) {
      case 'event': {
        const owned = this.#owned.get(input.shard)
        if (owned !== undefined) this.#step(input.shard, owned.scheduler, input.event)
        return
      }
      case 'tick':
        for (const [id, { scheduler }] of this.#owned) this.#step(id, scheduler, { type: 'tick', at: this.#host.now() })
    }
  }

  #step (shard: ShardId, scheduler: Scheduler, event: SchedulerEvent): void {
    for (const action of scheduler.step(event)) this.#perform(shard, action)
  }

  #perform (shard: ShardId, action: SchedulerAction): void {
    switch (action.type) {
      case 'grant': return this.#host.reply(action.box, shard, action)
      case 'refuse': return this.#host.reply(action.box, shard, action)
      case 'yield': return this.#host.noteYield(action.request, action.engine, action.to)
      case 'violation': return this.#host.noteViolation(action.rule, action.detail)
    }
  }
}
