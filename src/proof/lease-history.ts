/**
 * Random histories of a lease in virtual time: boxes that are suspended (also
 * between asking whether they may call and the call itself), killed, cut off from
 * the log or from the other side, stopped as planned, and whose clocks drift,
 * stand still while they are suspended, and have their time of day set. The log
 * is one that takes commands in order, late, and loses answers. The other side
 * doesn't look at fences: whoever plays a history judges what arrived there.
 */
import { LeaseBook, LeaseHolder, planLeaseTiming } from '../coordination/index.js'
import type { ClockReading, LeaseCommand, LeaseResult, LeaseTiming } from '../coordination/index.js'
import { createRandom } from '../runtime/index.js'

/** What a history is made from. */
export interface LeaseHistoryShape {
  readonly seed: number
  readonly boxes: number
  readonly steps: number
  /** A mistake that the history must catch: the lease counted from its answer. */
  readonly countsFromAnswer?: boolean
}

/** A call as it reaches the other side; those that it excuses are left out. */
export interface LeaseArrival {
  /** True time, ms. */
  readonly at: number
  readonly holder: string
  readonly fence: number
}

/** The bound that the other side names, ms. */
export const boundMs = 3000
/** Length of a step of virtual time, ms. */
const stepMs = 20
const { callMs } = planLeaseTiming(boundMs)
/** Calls that arrive so soon after their sender was suspended, or its link came back, aren't held against it, ms. */
const excuseMs = 300

class HistoryBox {
  readonly name: string
  holder: LeaseHolder
  /** How fast its steady clock runs. */
  readonly pace: number
  steady = 0
  /** The time of day less the true time, ms. */
  wallOff = 0
  /** Until when it is suspended, cut off from the log, from the other side, or down; true ms. */
  suspendedUntil = 0
  logCutUntil = 0
  callCutUntil = 0
  downUntil = 0
  excusedUntil = 0
  standsStill = false
  isLeaving = false
  /** Calls that have not arrived. */
  underWay = 0
  readonly timing: LeaseTiming

  constructor (name: string, pace: number, timing: LeaseTiming) {
    this.name = name
    this.pace = pace
    this.timing = timing
    this.holder = this.begin(0)
  }

  begin (at: number): LeaseHolder {
    this.holder = new LeaseHolder('duty', this.name, this.timing, this.read(at))
    this.isLeaving = false
    return this.holder
  }

  read (at: number): ClockReading { return { steady: this.steady, wall: at + this.wallOff } }
}

/** Plays one history; gives what arrived, in order. */
export function playLeaseHistory (shape: LeaseHistoryShape): LeaseArrival[] {
  return new LeaseHistory(shape).play()
}

class LeaseHistory {
  #shape: LeaseHistoryShape
  #random: () => number
  #boxes: HistoryBox[]
  #book = new LeaseBook()
  /** What happens later, by true time. */
  #later: { readonly at: number, readonly run: () => void }[] = []
  #arrivals: LeaseArrival[] = []
  #at = 0

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
    this.#at += stepMs
    for (const box of this.#boxes) {
      const sleeps = this.#at < box.suspendedUntil || this.#at < box.downUntil
      if (!sleeps || !box.standsStill) box.steady += stepMs * box.pace
    }
    const due = this.#later.filter(({ at }) => at <= this.#at)
    this.#later = this.#later.filter(({ at }) => at > this.#at)
    for (const { run } of due.sort((a, b) => a.at - b.at)) run()
    if (this.#random() < 0.02) this.#disturb()
    for (const box of this.#boxes) this.#run(box)
  }

  #disturb (): void {
    const box = this.#boxes[Math.floor(this.#random() * this.#boxes.length)]
    const forMs = 200 + this.#random() * 6000
    switch (Math.floor(this.#random() * 6)) {
      case 0: return this.#suspend(box, forMs)
      case 1: return void (box.logCutUntil = this.#at + forMs)
      case 2: return this.#cutCalls(box, forMs)
      // Set while a box runs: one that sleeps while its steady clock stands still has nothing else to go by.
      case 3: return this.#setWall(box, (this.#random() - 0.5) * 8000)
      case 4: return this.#kill(box, forMs)
      case 5: return this.#stop(box, forMs)
    }
  }

  #setWall (box: HistoryBox, offMs: number): void {
    if (!this.#isAway(box)) box.wallOff = offMs
  }

  #suspend (box: HistoryBox, forMs: number): void {
    box.suspendedUntil = this.#at + forMs
    box.standsStill = this.#random() < 0.5
    box.excusedUntil = Math.max(box.excusedUntil, box.suspendedUntil + excuseMs)
  }

  #cutCalls (box: HistoryBox, forMs: number): void {
    box.callCutUntil = this.#at + forMs
    box.excusedUntil = Math.max(box.excusedUntil, box.callCutUntil + excuseMs)
  }

  #kill (box: HistoryBox, forMs: number): void {
    box.downUntil = this.#at + forMs
    box.standsStill = false
    this.#schedule(forMs, () => box.begin(this.#at))
  }

  // A planned stop gives the lease back once no call is under way, and is back soon.
  #stop (box: HistoryBox, forMs: number): void {
    if (this.#isAway(box)) return
    box.isLeaving = true
    this.#schedule(callMs, () => {
      const command = box.underWay > 0 || this.#isAway(box) ? null : box.holder.release()
      if (command !== null) this.#propose(box, command, () => {})
    })
    this.#schedule(callMs + 100, () => this.#kill(box, forMs * 0.3))
  }

  #isAway (box: HistoryBox): boolean { return this.#at < box.suspendedUntil || this.#at < box.downUntil }

  #run (box: HistoryBox): void {
    if (this.#isAway(box)) return
    const now = box.read(this.#at)
    if (this.#at >= box.logCutUntil) box.holder.observe(this.#book.find('duty'), now)
    const holder = box.holder
    const command = holder.decide(now, !box.isLeaving && this.#random() < 0.5)
    if (command !== null) this.#propose(box, command, result => this.#noteEnd(box, holder, result))
    if (!box.isLeaving && this.#random() < 0.3) this.#call(box)
  }

  #noteEnd (box: HistoryBox, holder: LeaseHolder, result: LeaseResult | null): void {
    if (box.holder !== holder) return
    holder.noteEnd(result)
    // The known mistake: what is left is counted from the moment at which the answer is read.
    if (this.#shape.countsFromAnswer === true && result?.type === 'granted') Object.assign(box.holder, { findFence: makeLateCount(box.read(this.#at), box.timing, result.fence) })
  }

  // The log takes a command some ms later; its answer comes later still, or never. A box that is suspended reads it when it wakes.
  #propose (box: HistoryBox, command: LeaseCommand, end: (result: LeaseResult | null) => void): void {
    const isLost = this.#at < box.logCutUntil || this.#random() < 0.05
    const wayMs = this.#random() < 0.1 ? this.#random() * 2500 : 2 + this.#random() * 40
    const taken = !isLost || this.#random() < 0.5
    this.#schedule(wayMs, () => {
      const result = taken ? this.#book.apply(command) : null
      this.#schedule(this.#random() * 30, () => this.#deliver(box, () => end(isLost ? null : result)))
    })
  }

  #deliver (box: HistoryBox, run: () => void): void {
    if (!this.#isAway(box)) return run()
    const wakesAt = Math.max(box.suspendedUntil, box.downUntil)
    this.#schedule(wakesAt - this.#at, () => this.#deliver(box, run))
  }

  #call (box: HistoryBox): void {
    const fence = box.holder.findFence(box.read(this.#at), callMs)
    if (fence === null) return
    // Suspended between asking and writing: it goes out when the box wakes, and is excused if the way is as short as it mostly is.
    const isStopped = this.#random() < 0.02
    if (isStopped) this.#suspend(box, 200 + this.#random() * 5000)
    const wayMs = !isStopped && this.#random() < 0.05 ? this.#random() * callMs : 1 + this.#random() * 5
    const sentAt = Math.max(this.#at, box.suspendedUntil)
    const isCut = sentAt < box.callCutUntil
    if (isCut) return
    box.underWay += 1
    this.#schedule(sentAt + wayMs - this.#at, () => {
      box.underWay -= 1
      if (this.#at > box.excusedUntil) this.#arrivals.push({ at: this.#at, holder: box.name, fence })
    })
  }

  #schedule (inMs: number, run: () => void): void { this.#later.push({ at: this.#at + inMs, run }) }
}

function makeLateCount (answeredAt: ClockReading, timing: LeaseTiming, fence: number): (now: ClockReading, needMs: number) => number | null {
  return (now, needMs) => now.steady - answeredAt.steady + needMs > timing.holdMs ? null : fence
}
