/**
 * One box's side of the lease on a duty: when to claim and to renew, and
 * whether it may act now. Pure: it is told the time, and what the log says.
 *
 * A lease runs from the moment at which its renewal was asked for, not from its
 * answer, as others begin to wait no earlier than the log took it. The holder
 * believes whichever of its clocks says that more has passed; one that waits for
 * another's lease to run out believes the steady one alone, slowed by the drift
 * that the timing allows for.
 */
import { ElapsedClock } from './elapsed-clock.js'
import type { ClockReading } from './elapsed-clock.js'
import type { LeaseCommand, LeaseResult, LeaseState } from './lease-book.js'
import type { LeaseTiming } from './lease-timing.js'

/** What the box was granted, and when it asked for it, on its elapsed clock, ms. */
interface Grant {
  readonly fence: number
  readonly requestedAt: number
}

/** A command that is under way. */
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
  /** When the mark was first seen where it is, on the steady clock, ms. */
  #markSeenAt: number
  /** Since when another is known to have the lease after this box, on the steady clock, ms; null where none has. */
  #replacedAt: number | null
  #grant: Grant | null = null
  #pending: PendingCommand | null = null

  /** `self`: the box, as calls name it; unique over all machines. `now`: the start of its process. */
  constructor (duty: string, self: string, timing: LeaseTiming, now: ClockReading) {
    this.duty = duty
    this.self = self
    this.#timing = timing
    this.#clock = new ElapsedClock(now)
    this.#markSeenAt = now.steady
    this.#replacedAt = now.steady
  }

  /** The fence that was granted last in this process; null where there is none that may still hold. */
  get fence (): number | null { return this.#grant?.fence ?? null }

  /** Takes the lease as the log has it here; undefined where it was never held. */
  observe (state: LeaseState | undefined, now: ClockReading): void {
    if (state?.mark === this.#state?.mark) return
    if (state?.fence !== this.#state?.fence) this.#updateFence(state, now)
    this.#state = state
    this.#markSeenAt = now.steady
  }

  #updateFence (state: LeaseState | undefined, now: ClockReading): void {
    if (this.#grant !== null && state?.fence !== this.#grant.fence) this.#grant = null
    if (state?.holder === this.self) this.#replacedAt = null
    else this.#replacedAt ??= now.steady
  }

  /** What to propose now; null for nothing. `mayClaim`: whether this box is to take the lease where nobody has it. */
  decide (now: ClockReading, mayClaim: boolean): LeaseCommand | null {
    const elapsedMs = this.#clock.read(now)
    if (this.#pending !== null) return null
    const command = this.#chooseCommand(now.steady, elapsedMs, mayClaim)
    if (command !== null) this.#pending = { command, requestedAt: elapsedMs }
    return command
  }

  #chooseCommand (monotonicMs: number, elapsedMs: number, mayClaim: boolean): LeaseCommand | null {
    const { duty, self } = this
    const grant = this.#grant
    if (grant !== null && elapsedMs - grant.requestedAt < this.#timing.holdMs) {
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

  // Another has had the lease since: in the time that the bound names, this box must not act again.
  #isInCooldown (monotonicMs: number): boolean {
    const recent = this.#state?.recent ?? []
    const wasReplaced = recent.includes(this.self) && recent.at(-1) !== this.self
    return wasReplaced && this.#replacedAt !== null && monotonicMs - this.#replacedAt < this.#timing.cooldownMs
  }

  /** Takes the end of the command that was proposed; null where it isn't known whether the log took it. */
  noteEnd (result: LeaseResult | null): void {
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

  /** The fence for a call that takes up to `needMs`, ms; null where the lease may not last as long. To be asked right before each call is written. */
  findFence (now: ClockReading, needMs: number): number | null {
    const grant = this.#grant
    const elapsedMs = this.#clock.read(now)
    if (grant === null || elapsedMs - grant.requestedAt + needMs > this.#timing.holdMs) return null
    return grant.fence
  }

  /** The command that gives the lease back; null where there is nothing to give. From now on no call is allowed. */
  release (): LeaseCommand | null {
    const grant = this.#grant
    this.#grant = null
    return grant === null ? null : { type: 'release', duty: this.duty, holder: this.self, fence: grant.fence }
  }
}
