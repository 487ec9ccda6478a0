/**
 * The duties that one registry carries out for all boxes: the leader of the log
 * holds the lease on them while it leads. Everything that goes out bears the
 * lease's number, and goes out only while the lease lasts by every clock.
 */
import { parseAddress } from '../config/index.js'
import type { DutySettings } from '../config/index.js'
import { LeaseHolder, planLeaseTiming } from '../coordination/index.js'
import type { ClockReading, KeeperCommand, KeeperLog, KeeperResult, LeaseCommand, LeaseResult, UsageResult, UsageTelling } from '../coordination/index.js'
import type { Dialect, DutyCall, Link, RouteMessage } from '../protocol/index.js'
import { DayClock, waitUntil } from '../runtime/index.js'
import { DutyCaller } from './duty-caller.js'
import type { DutyEnd } from './duty-caller.js'
import { EndpointOrders } from './endpoint-orders.js'
import type { EndpointOrdersHost } from './endpoint-orders.js'
import { UsageReporter } from './usage-reporter.js'

/** What the desk needs of its box. */
export interface DutyDeskHost extends EndpointOrdersHost {
  readonly id: string
  readonly dialect: Dialect
  readonly keeper: KeeperLog
  /** The link to the registry that leads; undefined where it is not known or not reached. */
  findLeader (): Link<RouteMessage> | undefined
}

/** One lease stands for all calls to the platform. */
const duty = 'platform'
/** How often the lease and what is due are looked at, ms: well within the time between renewals. */
const tickMs = 100
/** How often the leader is told what gateways told here, in ticks. */
const forwardTicks = 4
/** Calls under way at most. */
const mostCalls = 8

export class DutyDesk {
  #host: DutyDeskHost
  #lease: LeaseHolder
  #caller: DutyCaller
  #usage: UsageReporter
  #orders: EndpointOrders
  #leaseMs: number
  #fence: number | null = null
  #ticks = 0
  #toldTo: Link<RouteMessage> | undefined
  #isStopping = false
  #timer: NodeJS.Timeout | null = null

  constructor (settings: DutySettings, host: DutyDeskHost) {
    this.#host = host
    this.#leaseMs = settings.leaseMs
    const timing = planLeaseTiming(settings.leaseMs)
    this.#lease = new LeaseHolder(duty, host.id, timing, this.#read())
    this.#caller = new DutyCaller(parseAddress(settings.address), timing.callMs)
    this.#orders = new EndpointOrders(host)
    const day = new DayClock(host.now, Date.now)
    this.#usage = new UsageReporter({
      log: host.log,
      metrics: host.metrics,
      windowMs: settings.usageWindowSeconds * 1000,
      lateMs: settings.usageLateSeconds * 1000,
      get ledger () { return host.keeper.state.usage },
      now: host.now,
      readDay: () => day.read(),
      propose: async command => await this.#propose({ part: 'usage', command }) as UsageResult | null,
      call: call => this.#call(call)
    })
  }

  start (): void { this.#timer = setInterval(() => this.#tick(), tickMs) }

  /** Takes what gateways began, from them or from other registries. */
  takeUsage (tellings: readonly UsageTelling[]): void { this.#usage.take(tellings) }

  /** Makes no more calls, and gives the lease back once none is under way, so that the next holder need not wait for its end. */
  async stop (): Promise<void> {
    this.#isStopping = true
    await waitUntil(() => this.#caller.openCount === 0, this.#caller.longestMs)
    // What may still be under way must not arrive after the next holder's first call: then the lease has to run out.
    const isQuiet = this.#caller.openCount === 0 && this.#host.now() - this.#caller.unsureAt > this.#leaseMs
    const command = isQuiet ? this.#lease.release() : null
    if (command === null) return
    await this.#propose({ part: 'leases', command })
    this.#host.log.info('lease', { duty, state: 'released', fence: command.type === 'release' ? command.fence : 0 })
  }

  close (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#caller.close()
  }

  #read (): ClockReading { return { steady: this.#host.now(), wall: Date.now() } }

  #tick (): void {
    this.#ticks += 1
    const { keeper } = this.#host
    const now = this.#read()
    this.#lease.observe(keeper.state.leases.find(duty), now)
    const command = this.#lease.decide(now, keeper.isLeader && !this.#isStopping)
    if (command !== null) void this.#ask(command)
    if (this.#ticks % forwardTicks === 0) this.#forward()
    this.#noteHeld(this.#lease.findFence(now, this.#caller.callMs))
    if (this.#fence === null || !keeper.isLeader || this.#isStopping) return
    this.#usage.step()
    this.#orders.step(call => this.#call(call))
  }

  #noteHeld (fence: number | null): void {
    if (fence === this.#fence) return
    if (fence === null) this.#host.log.warn('lease', { duty, state: 'run-out', fence: this.#fence ?? 0 })
    else this.#noteTaken(fence)
    this.#fence = fence
  }

  #noteTaken (fence: number): void {
    this.#host.log.info('lease', { duty, state: 'held', fence })
    this.#orders.reset()
  }

  async #ask (command: LeaseCommand): Promise<void> {
    this.#lease.noteEnd(await this.#propose({ part: 'leases', command }) as LeaseResult | null)
  }

  async #propose (command: KeeperCommand): Promise<KeeperResult | null> {
    const end = await this.#host.keeper.propose(command)
    return end.type === 'applied' ? end.result as KeeperResult : null
  }

  async #call (call: DutyCall): Promise<DutyEnd> {
    if (this.#isStopping) return { type: 'not-held' }
    if (this.#caller.openCount >= mostCalls) return { type: 'failed', reason: 'too many calls are under way' }
    const startedAt = this.#host.now()
    const end = await this.#caller.call(() => {
      const fence = this.#isStopping ? null : this.#lease.findFence(this.#read(), this.#caller.callMs)
      return fence === null ? null : this.#host.dialect.composeDuty(call, { holder: this.#host.id, fence })
    })
    this.#host.metrics.time('duty-call', this.#host.now() - startedAt, { call: call.type, end: end.type === 'answered' ? String(end.status) : end.type })
    return end
  }

  // A leader that is new to this box may know nothing of what it told before.
  #forward (): void {
    this.#usage.tidy()
    const leader = this.#host.keeper.isLeader ? undefined : this.#host.findLeader()
    const isNew = leader !== this.#toldTo
    this.#toldTo = leader
    if (leader === undefined) return
    const tellings = this.#usage.takeNews(isNew)
    if (tellings.length > 0) leader.send({ type: 'usage', tellings })
  }
}
