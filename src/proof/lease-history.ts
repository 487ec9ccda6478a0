/**
 * Randomised simulations of a lease in virtual time. Boxes are suspended (also
 * between the check of the lease and the call itself), killed, partitioned from
 * the log or from the called service, and stopped gracefully. Their clocks drift,
 * may stop during a suspension, and have their wall time set. The log applies
 * commands in order but late, and loses replies. The called service does not
 * check fencing tokens; the caller of `runLeaseHistory` checks the arrivals.
 */
import { LeaseTable, LeaseHolder, planLeaseTiming } from '../coordination/index.js'
import type { ClockReading, LeaseCommand, LeaseResult, LeaseTiming } from '../coordination/index.js'
import { createRandom } from '../runtime/index.js'

/** Parameters of a simulated run. */
export interface LeaseHistoryShape {
  readonly seed: number
  readonly boxes: number
  readonly steps: number
  /** Injects a known bug that the checks must detect: the lease's validity counts from the reply instead of the request. */
  readonly countsFromReply?: boolean
}

/** A call that arrived at the called service; calls that are exempt from the bound are left out. */
export interface LeaseArrival {
  /** True time, ms. */
  readonly at: number
  readonly holder: string
  readonly fence: number
}

/** Bound required by the called service: a former holder may not act again within this time, ms. */
export const boundMs = 3000
/** Step of the virtual clock, ms. */
const stepMs = 20
const { callMs } = planLeaseTiming(boundMs)
/** Calls that arrive within this time after their sender resumed, or after its link came back, are exempt, ms. */
const exemptMs = 300

class HistoryBox {
  readonly name: string
  holder: LeaseHolder
  /** Rate of the box's monotonic clock relative to true time. */
  readonly clockRate: number
  monotonicMs = 0
  /** Wall time minus true time, ms. */
  wallOffsetMs = 0
  /** End of the current suspension, partition from the log, partition from the called service, and downtime; true time, ms. */
  suspendedUntil = 0
  logCutUntil = 0
  callCutUntil = 0
  downUntil = 0
  exemptUntil = 0
  isMonotonicClockStopped = false
  isLeaving = false
  callsInFlight = 0
  readonly timing: LeaseTiming

  constructor (name: string, clockRate: number, timing: LeaseTiming) {
    this.name = name
    this.clockRate = clockRate
    this.timing = timing
    this.holder = this.startHolder(0)
  }

  startHolder (at: number): LeaseHolder {
    this.holder = new LeaseHolder('duty', this.name, this.timing, this.readClocks(at))
    this.isLeaving = false
    return this.holder
  }

  readClocks (at: number): ClockReading { return { monotonic: this.monotonicMs, wall: at + this.wallOffsetMs } }
}

/** Runs one simulation; returns the arrivals in order. */
export function runLeaseHistory (shape: LeaseHistoryShape): LeaseArrival[] {
  return new LeaseHistory(shape).play()
}

class LeaseHistory {
  #shape: LeaseHistoryShape
  #random: () => number
  #boxes: HistoryBox[]
  #leases = new LeaseTable()
  /** Callbacks to run at a later true time, ms. */
  #scheduled: { readonly at: number, readonly run: () => void }[] = []
  #arrivals: LeaseArrival[] = []
  #now = 0

  constructor (shape: LeaseHistoryShape) {
    this.#shape = shape
    this.#random = createRandom(shape.seed)
    const timing = planLeaseTiming(boundMs)
    this.#boxes = Array.from({ length: shape.boxes }, (_, i) => new HistoryBox(`box-${i}`, 0.98 + 0.04 * this.#random(), timing))
  }

  play (): LeaseArrival[] {
    for (let i = 0; i < this.#shape.steps; i++) this.#step()
    return this.#arrivals
  }

  #step (): void {
    this.#now += stepMs
    for (const box of this.#boxes) {
      const isUnavailable = this.#now < box.suspendedUntil || this.#now < box.downUntil
      if (!isUnavailable || !box.isMonotonicClockStopped) box.monotonicMs += stepMs * box.clockRate
    }
    const due = this.#scheduled.filter(({ at }) => at <= this.#now)
    this.#scheduled = this.#scheduled.filter(({ at }) => at > this.#now)
    for (const { run } of due.sort((a, b) => a.at - b.at)) run()
    if (this.#random() < 0.02) this.#injectFault()
    for (const box of this.#boxes) this.#runBox(box)
  }

  #injectFault (): void {
    const box = this.#boxes[Math.floor(this.#random() * this.#boxes.length)]
    const durationMs = 200 + this.#random() * 6000
    switch (Math.floor(this.#random() * 6)) {
      case 0: return this.#suspend(box, durationMs)
      case 1: return void (box.logCutUntil = this.#now + durationMs)
      case 2: return this.#cutCalls(box, durationMs)
      // Only while a box runs: during a suspension that stops its monotonic clock, the wall clock is its only measure of elapsed time.
      case 3: return this.#setWall(box, (this.#random() - 0.5) * 8000)
      case 4: return this.#kill(box, durationMs)
      case 5: return this.#stop(box, durationMs)
    }
  }

  #setWall (box: HistoryBox, offsetMs: number): void {
    if (!this.#isUnavailable(box)) box.wallOffsetMs = offsetMs
  }

  #suspend (box: HistoryBox, durationMs: number): void {
    box.suspendedUntil = this.#now + durationMs
    box.isMonotonicClockStopped = this.#random() < 0.5
    box.exemptUntil = Math.max(box.exemptUntil, box.suspendedUntil + exemptMs)
  }

  #cutCalls (box: HistoryBox, durationMs: number): void {
    box.callCutUntil = this.#now + durationMs
    box.exemptUntil = Math.max(box.exemptUntil, box.callCutUntil + exemptMs)
  }

  #kill (box: HistoryBox, durationMs: number): void {
    box.downUntil = this.#now + durationMs
    box.isMonotonicClockStopped = false
    this.#schedule(durationMs, () => box.startHolder(this.#now))
  }

  // A graceful stop releases the lease once no call is in flight, and restarts the box soon.
  #stop (box: HistoryBox, durationMs: number): void {
    if (this.#isUnavailable(box)) return
    box.isLeaving = true
    this.#schedule(callMs, () => {
      const command = box.callsInFlight > 0 || this.#isUnavailable(box) ? null : box.holder.release()
      if (command !== null) this.#propose(box, command, () => {})
    })
    this.#schedule(callMs + 100, () => this.#kill(box, durationMs * 0.3))
  }

  #isUnavailable (box: HistoryBox): boolean { return this.#now < box.suspendedUntil || this.#now < box.downUntil }

  #runBox (box: HistoryBox): void {
    if (this.#isUnavailable(box)) return
    const now = box.readClocks(this.#now)
    if (this.#now >= box.logCutUntil) box.holder.observe(this.#leases.find('duty'), now)
    const holder = box.holder
    const command = holder.decide(now, !box.isLeaving && this.#random() < 0.5)
    if (command !== null) this.#propose(box, command, result => this.#handleResult(box, holder, result))
    if (!box.isLeaving && this.#random() < 0.3) this.#call(box)
  }

  #handleResult (box: HistoryBox, holder: LeaseHolder, result: LeaseResult | null): void {
    if (box.holder !== holder) return
    holder.noteResult(result)
    // The injected bug: the remaining validity counts from when the reply is read.
    if (this.#shape.countsFromReply === true && result?.type === 'granted') Object.assign(box.holder, { findFence: createLateFenceCheck(box.readClocks(this.#now), box.timing, result.fence) })
  }

  // The log applies a command after some ms; its reply comes later still, or never. A suspended box reads it when it resumes.
  #propose (box: HistoryBox, command: LeaseCommand, onResult: (result: LeaseResult | null) => void): void {
    const isLost = this.#now < box.logCutUntil || this.#random() < 0.05
    const latencyMs = this.#random() < 0.1 ? this.#random() * 2500 : 2 + this.#random() * 40
    const isApplied = !isLost || this.#random() < 0.5
    this.#schedule(latencyMs, () => {
      const result = isApplied ? this.#leases.apply(command) : null
      this.#schedule(this.#random() * 30, () => this.#runWhenAvailable(box, () => onResult(isLost ? null : result)))
    })
  }

  #runWhenAvailable (box: HistoryBox, run: () => void): void {
    if (!this.#isUnavailable(box)) return run()
    const availableAt = Math.max(box.suspendedUntil, box.downUntil)
    this.#schedule(availableAt - this.#now, () => this.#runWhenAvailable(box, run))
  }

  #call (box: HistoryBox): void {
    const fence = box.holder.findFence(box.readClocks(this.#now), callMs)
    if (fence === null) return
    // A suspension between the check and the write: the call is sent when the box resumes, and is exempt because its latency is short.
    const isSuspended = this.#random() < 0.02
    if (isSuspended) this.#suspend(box, 200 + this.#random() * 5000)
    const latencyMs = !isSuspended && this.#random() < 0.05 ? this.#random() * callMs : 1 + this.#random() * 5
    const sentAt = Math.max(this.#now, box.suspendedUntil)
    const isCut = sentAt < box.callCutUntil
    if (isCut) return
    box.callsInFlight += 1
    this.#schedule(sentAt + latencyMs - this.#now, () => {
      box.callsInFlight -= 1
      if (this.#now > box.exemptUntil) this.#arrivals.push({ at: this.#now, holder: box.name, fence })
    })
  }

  #schedule (delayMs: number, run: () => void): void { this.#scheduled.push({ at: this.#now + delayMs, run }) }
}

function createLateFenceCheck (answeredAt: ClockReading, timing: LeaseTiming, fence: number): (now: ClockReading, needMs: number) => number | null {
  return (now, needMs) => now.monotonic - answeredAt.monotonic + needMs > timing.validMs ? null : fence
}
