/**
 * The task that owns the schedulers of the shards that fall to this box. Word
 * of boxes comes in, grants and refusals go out.
 */
import { Scheduler } from '../core/index.js'
import type { BoxId, EngineId, Shard, ShardAnswer, ShardId, ShardLoad, ShardWord, SchedulerAction, SchedulerConfig, SchedulerEvent } from '../core/index.js'
import { Inbox } from '../runtime/index.js'

/** What the owner needs of the box. */
export interface ShardOwnerHost {
  now (): number
  random (): number
  answer (box: BoxId, shard: ShardId, answer: ShardAnswer): void
  noteViolation (rule: string, detail: string): void
  noteYield (request: string, engine: string, to: string): void
}

interface Owned {
  readonly shard: Shard
  readonly scheduler: Scheduler
}

type OwnerInput =
  | { readonly type: 'event', readonly shard: ShardId, readonly event: SchedulerEvent }
  | { readonly type: 'tick' }

const tickMs = 15
const idleTurns = 10
const inboxLimit = 50_000

export class ShardOwner {
  #host: ShardOwnerHost
  #owned = new Map<ShardId, Owned>()
  #inbox = new Inbox<OwnerInput>(inboxLimit)
  #timer: NodeJS.Timeout
  #turn = 0

  constructor (host: ShardOwnerHost) {
    this.#host = host
    this.#inbox.run(input => this.#take(input))
    this.#timer = setInterval(() => this.#tick(), tickMs)
  }

  /** The shards that are owned now, with their engines. */
  get shards (): readonly Shard[] { return [...this.#owned.values()].map(one => one.shard) }

  /** The loads that other boxes are told. */
  get loads (): (readonly [ShardId, ShardLoad])[] {
    return [...this.#owned].map(([id, one]) => [id, one.scheduler.load])
  }

  owns (shard: ShardId): boolean { return this.#owned.has(shard) }

  findScheduler (shard: ShardId): Scheduler | undefined { return this.#owned.get(shard)?.scheduler }

  /** Takes on the given shards, keeping the state of those owned already, and gives up all others. */
  assign (shards: readonly Shard[], configure: (shard: Shard) => SchedulerConfig): void {
    const next = new Map<ShardId, Owned>()
    for (const shard of shards) {
      const known = this.#owned.get(shard.id)
      const config = configure(shard)
      const scheduler = known?.scheduler ?? new Scheduler(config, () => this.#host.random())
      next.set(shard.id, { shard, scheduler })
      if (known !== undefined) this.#step(shard.id, scheduler, { type: 'configure', at: this.#host.now(), config })
    }
    this.#owned = next
  }

  /** Takes word of a box. False where the inbox is full or the shard isn't owned. */
  take (shard: ShardId, word: ShardWord): boolean {
    if (!this.#owned.has(shard)) return false
    const event = this.#toEvent(word)
    if (event.type === 'submit') return this.#inbox.offer({ type: 'event', shard, event })
    this.#inbox.post({ type: 'event', shard, event })
    return true
  }

  /** A report or cache event of an engine. */
  noteEngine (shard: ShardId, event: Extract<SchedulerEvent, { type: 'report' | 'evicted' | 'drain' }>): void {
    this.#inbox.post({ type: 'event', shard, event })
  }

  /** A box is gone, and what it had asked for with it. */
  loseBox (box: BoxId): void {
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

  // Where nothing waits there is no deadline to watch, and a tick now and then will do.
  #tick (): void {
    this.#turn += 1
    const isIdle = [...this.#owned.values()].every(one => !one.scheduler.hasWaiting)
    if (!isIdle || this.#turn % idleTurns === 0) this.#inbox.post({ type: 'tick' })
  }

  // Deadlines cross between boxes as time left: their clocks differ.
  #toEvent (word: ShardWord): SchedulerEvent {
    const at = this.#host.now()
    switch (word.type) {
      case 'submit': return { type: 'submit', at, submission: { ...word.submission, deadline: at + word.leftMs } }
      case 'adopt': return { ...word, at }
      case 'cancel': return { ...word, at }
      case 'firstToken': return { ...word, at }
      case 'end': return { ...word, at }
    }
  }

  #take (input: OwnerInput): void {
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
      case 'grant': return this.#host.answer(action.box, shard, action)
      case 'refuse': return this.#host.answer(action.box, shard, action)
      case 'yield': return this.#host.noteYield(action.request, action.engine, action.to)
      case 'violation': return this.#host.noteViolation(action.rule, action.detail)
    }
  }
}
