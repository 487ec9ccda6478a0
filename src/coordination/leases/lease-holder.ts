/**
 * One box's client side of the lease on a duty: decides when to claim and renew,
 * and whether the box may act. Pure: callers pass in the time and the lease state
 * from the log.
 *
 * A lease is valid from the time its renewal was requested, not from the reply,
 * because other boxes start waiting no earlier than the log accepted the renewal.
 * The holder measures with the clock that shows more elapsed time. A box waiting
 * for another's lease to expire uses only the monotonic clock and adds the drift
 * that the timing allows for.
 */
import { ElapsedClock } from './elapsed-clock.js'
import type { ClockReading } from './elapsed-clock.js'
import type { LeaseCommand, LeaseResult, LeaseState } from './lease-table.js'
import type { LeaseTiming } from './lease-timing.js'

/** A granted lease; `requestedAt` is on the elapsed clock, ms. */
interface Grant {
  readonly fence: number
  readonly requestedAt: number
}

/** A proposed command without a result yet. */
interface PendingCommand {
  readonly command: LeaseCommand
  readonly requestedAt: number
}

export class LeaseHolder {
  readonly duty: string
  readonly self: string
  #timing: LeaseTiming
  #clock: ElapsedClock
  #state: LeaseState | undefined
  /** When the current mark was first observed, on the monotonic clock, ms. */
  #markSeenAt: number
  /** When this box first saw that another one took the lease over, on the monotonic clock, ms; null if none has. */
  #replacedAt: number | null
  #grant: Grant | null = null
  #pending: PendingCommand | null = null

  /** `self`: the holder id sent with calls, unique across all machines. `now`: the time of process start. */
  constructor (duty: string, self: string, timing: LeaseTiming, now: ClockReading) {
    this.duty = duty
    this.self = self
    this.#timing = timing
    this.#clock = new ElapsedClock(now)
    this.#markSeenAt = now.monotonic
    this.#replacedAt = now.monotonic
  }

  /** The fencing token granted last to this process; null if there is no grant that may still be valid. */
  get fence (): number | null { return this.#grant?.fence ?? null }

  /** Updates the lease state from the local replica; undefined if the lease was never held. */
  observe (state: LeaseState | undefined, now: ClockReading): void {
    if (state?.mark === this.#state?.mark) return
    if (state?.fence !== this.#state?.fence) this.#updateFence(state, now)
    this.#state = state
    this.#markSeenAt = now.monotonic
  }

  #updateFence (state: LeaseState | undefined, now: ClockReading): void {
    if (this.#grant !== null && state?.fence !== this.#grant.fence) this.#grant = null
    if (state?.holder === this.self) this.#replacedAt = null
    else this.#replacedAt ??= now.monotonic
  }

  /** The command to propose now, or null. `mayClaim`: whether this box should claim the lease when nobody holds it. */
  decide (now: ClockReading, mayClaim: boolean): LeaseCommand | null {
    const elapsedMs = this.#clock.read(now)
    if (this.#pending !== null) return null
    const command = this.#chooseCommand(now.monotonic, elapsedMs, mayClaim)
    if (command !== null) this.#pending = { command, requestedAt: elapsedMs }
    return command
  }

  #chooseCommand (monotonicMs: number, elapsedMs: number, mayClaim: boolean): LeaseCommand | null {
    const { duty, self } = this
    const grant = this.#grant
    if (grant !== null && elapsedMs - grant.requestedAt < this.#timing.validMs) {
      return elapsedMs - grant.requestedAt < this.#timing.renewMs ? null : { type: 'renew', duty, holder: self, fence: grant.fence }
    }
    this.#grant = null
    if (!mayClaim || !this.#isAvailable(monotonicMs) || this.#isInCooldown(monotonicMs)) return null
    return { type: 'claim', duty, holder: self, seen: this.#state?.mark ?? 0 }
  }

  #isAvailable (monotonicMs: number): boolean {
    if (this.#state === undefined || this.#state.holder === null) return true
    return monotonicMs - this.#markSeenAt >= this.#timing.waitMs
  }

  // After another box took the lease over, this box must not act again within the bound.
  #isInCooldown (monotonicMs: number): boolean {
    const recent = this.#state?.recent ?? []
    const wasReplaced = recent.includes(this.self) && recent.at(-1) !== this.self
    return wasReplaced && this.#replacedAt !== null && monotonicMs - this.#replacedAt < this.#timing.cooldownMs
  }

  /** Records the result of the proposed command; null if it is unknown whether the log accepted it. */
  noteResult (result: LeaseResult | null): void {
    const pending = this.#pending
    this.#pending = null
    if (pending === null || result === null) return
    switch (result.type) {
      case 'granted':
        if (pending.command.type === 'renew' && this.#grant === null) return
        this.#grant = { fence: result.fence, requestedAt: pending.requestedAt }
        return
      case 'released':
      case 'refused':
        this.#grant = null
    }
  }

  /** The fencing token for a call that takes up to `needMs`; null if the lease may expire earlier. Call it right before writing each call. */
  findFence (now: ClockReading, needMs: number): number | null {
    const grant = this.#grant
    const elapsedMs = this.#clock.read(now)
    if (grant === null || elapsedMs - grant.requestedAt + needMs > this.#timing.validMs) return null
    return grant.fence
  }

  /** The command that releases the lease, or null if it is not held. `findFence` returns null until the lease is granted again. */
  release (): LeaseCommand | null {
    const grant = this.#grant
    this.#grant = null
    return grant === null ? null : { type: 'release', duty: this.duty, holder: this.self, fence: grant.fence }
  }
}
