/**
 * Runs the duties that one registry performs for all boxes. The leader of the log
 * holds a lease on them while it leads. Every call carries the lease's fencing
 * token, and is sent only while the lease is valid by every clock.
 */
import { parseAddress } from '../config/index.js'
import type { DutySettings } from '../config/index.js'
import { LeaseHolder, planLeaseTiming } from '../coordination/index.js'
import type { ClockReading, KeeperCommand, KeeperLog, KeeperResult, LeaseCommand, LeaseResult, UsageResult, UsageUpdate } from '../coordination/index.js'
import type { Dialect, DutyCall, Link, RouteMessage } from '../protocol/index.js'
import { DayClock, waitUntil } from '../runtime/index.js'
import { DutyClient } from './duty-client.js'
import type { DutyCallResult } from './duty-client.js'
import { EndpointScaler } from './endpoint-scaler.js'
import type { EndpointScalerHost } from './endpoint-scaler.js'
import { UsageReporter } from './usage-reporter.js'

/** What the duties need of their box. */
export interface DutyRunnerHost extends EndpointScalerHost {
  readonly id: string
  readonly dialect: Dialect
  readonly keeper: KeeperLog
  /** The link to the leader; undefined where it is unknown or unreachable. */
  findLeader (): Link<RouteMessage> | undefined
}

/** One lease covers all calls to the platform. */
const duty = 'platform'
/** How often the lease and due work are checked, ms: well below the renewal interval. */
const tickMs = 100
/** How often gateways' usage reports are forwarded to the leader, in ticks. */
const forwardEveryTicks = 4
const maxConcurrentCalls = 8

export class DutyRunner {
  #host: DutyRunnerHost
  #lease: LeaseHolder
  #client: DutyClient
  #usage: UsageReporter
  #scaler: EndpointScaler
  #leaseMs: number
  #heldFence: number | null = null
  #ticks = 0
  #lastLeader: Link<RouteMessage> | undefined
  #isSuspended = false
  #timer: NodeJS.Timeout | null = null

  constructor (settings: DutySettings, host: DutyRunnerHost) {
    this.#host = host
    this.#leaseMs = settings.leaseMs
    const timing = planLeaseTiming(settings.leaseMs)
    this.#lease = new LeaseHolder(duty, host.id, timing, this.#readClocks())
    this.#client = new DutyClient(parseAddress(settings.address), timing.callMs)
    this.#scaler = new EndpointScaler(host)
    const dayClock = new DayClock(host.now, Date.now)
    this.#usage = new UsageReporter({
      log: host.log,
      metrics: host.metrics,
      windowMs: settings.usageWindowSeconds * 1000,
      reportDeadlineMs: settings.usageLateSeconds * 1000,
      get ledger () { return host.keeper.state.usage },
      now: host.now,
      readTimeOfDay: () => dayClock.read(),
      propose: async command => await this.#propose({ part: 'usage', command }) as UsageResult | null,
      call: call => this.#call(call)
    })
  }

  start (): void { this.#timer = setInterval(() => this.#tick(), tickMs) }

  /** Merges usage reports of gateways, received directly or through other registries. */
  mergeUsage (reports: readonly UsageUpdate[]): void { this.#usage.merge(reports) }

  /** Makes no more calls, and releases the lease once none is in flight, so that the next holder need not wait for its expiry. */
  async suspend (): Promise<void> {
    this.#isSuspended = true
    await waitUntil(() => this.#client.openCount === 0, this.#client.maxDurationMs)
    // A call that may still arrive must not do so after the next holder's first call; in that case the lease has to expire.
    const canRelease = this.#client.openCount === 0 && this.#host.now() - this.#client.lastUnknownOutcomeAt > this.#leaseMs
    const command = canRelease ? this.#lease.release() : null
    if (command === null) return
    await this.#propose({ part: 'leases', command })
    this.#host.log.info('lease', { duty, state: 'released', fence: command.type === 'release' ? command.fence : 0 })
  }

  /** Takes part again, if this registry still leads or comes to lead. */
  resume (): void { this.#isSuspended = false }

  close (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#client.close()
  }

  #readClocks (): ClockReading { return { monotonic: this.#host.now(), wall: Date.now() } }

  #tick (): void {
    this.#ticks += 1
    const { keeper } = this.#host
    const now = this.#readClocks()
    this.#lease.observe(keeper.state.leases.find(duty), now)
    const command = this.#lease.decide(now, keeper.isLeader && !this.#isSuspended)
    if (command !== null) void this.#requestLease(command)
    if (this.#ticks % forwardEveryTicks === 0) this.#forward()
    this.#updateFence(this.#lease.findFence(now, this.#client.callTimeoutMs))
    if (this.#heldFence === null || !keeper.isLeader || this.#isSuspended) return
    this.#usage.step()
    this.#scaler.step(call => this.#call(call))
  }

  #updateFence (fence: number | null): void {
    if (fence === this.#heldFence) return
    if (fence === null) this.#host.log.warn('lease', { duty, state: 'run-out', fence: this.#heldFence ?? 0 })
    else this.#noteAcquired(fence)
    this.#heldFence = fence
  }

  #noteAcquired (fence: number): void {
    this.#host.log.info('lease', { duty, state: 'held', fence })
    this.#scaler.reset()
  }

  async #requestLease (command: LeaseCommand): Promise<void> {
    this.#lease.noteResult(await this.#propose({ part: 'leases', command }) as LeaseResult | null)
  }

  async #propose (command: KeeperCommand): Promise<KeeperResult | null> {
    const outcome = await this.#host.keeper.propose(command)
    return outcome.type === 'applied' ? outcome.result as KeeperResult : null
  }

  async #call (call: DutyCall): Promise<DutyCallResult> {
    if (this.#isSuspended) return { type: 'not-held' }
    if (this.#client.openCount >= maxConcurrentCalls) return { type: 'failed', reason: 'too many calls are under way' }
    const startedAt = this.#host.now()
    const result = await this.#client.call(() => {
      const fence = this.#isSuspended ? null : this.#lease.findFence(this.#readClocks(), this.#client.callTimeoutMs)
      return fence === null ? null : this.#host.dialect.composeDuty(call, { holder: this.#host.id, fence })
    })
    this.#host.metrics.time('duty-call', this.#host.now() - startedAt, { call: call.type, end: result.type === 'answered' ? String(result.status) : result.type })
    return result
  }

  // A new leader may not have the earlier reports, so it gets all of them.
  #forward (): void {
    this.#usage.prune()
    const leader = this.#host.keeper.isLeader ? undefined : this.#host.findLeader()
    const isNewLeader = leader !== this.#lastLeader
    this.#lastLeader = leader
    if (leader === undefined) return
    const reports = this.#usage.takeUnsent(isNewLeader)
    if (reports.length > 0) leader.send({ type: 'usage', tellings: reports })
  }
}
