import type { RequestId, WorkspaceName } from './ids.js'
import type { RequestClass } from './request-class.js'
import type { Submission } from './submission.js'

/** A request in a queue. */
export interface Waiting {
  readonly submission: Submission
  readonly since: number
}

/** The waiting requests of one workspace, earliest deadline first. */
interface Lane {
  readonly workspace: WorkspaceName
  readonly waiting: Waiting[]
  /** The counter when the lane was opened: service before that was never charged to it. */
  readonly base: number
  served: number
}

/**
 * The queue of one class. Workspaces are served by least service received, in
 * tokens (after VTC, Sheng et al., OSDI 2024), and within a workspace by
 * earliest deadline, which within a class is the order of least slack.
 */
export class ClassQueue {
  readonly class: RequestClass
  /** Tokens of service that the class received, for fairness among classes of one priority. */
  served = 0
  #lanes = new Map<WorkspaceName, Lane>()
  #size = 0
  #floor = 0

  constructor (of: RequestClass) {
    this.class = of
  }

  get size (): number { return this.#size }

  push (submission: Submission, since: number): void {
    const lane = this.#open(submission.workspace)
    const entry = { submission, since }
    let at = lane.waiting.length
    while (at > 0 && lane.waiting[at - 1].submission.deadline > submission.deadline) at -= 1
    lane.waiting.splice(at, 0, entry)
    this.#size += 1
  }

  /** The request to serve next among those that `fits` takes. */
  findNext (fits: (submission: Submission) => boolean): Waiting | undefined {
    let best: Lane | undefined
    for (const lane of this.#lanes.values()) {
      if (best !== undefined && best.served <= lane.served) continue
      if (fits(lane.waiting[0].submission)) best = lane
    }
    return best?.waiting[0]
  }

  /** Takes a request out; undefined where it isn't in the queue. */
  remove (workspace: WorkspaceName, request: RequestId): Waiting | undefined {
    const lane = this.#lanes.get(workspace)
    if (lane === undefined) return undefined
    const at = lane.waiting.findIndex(entry => entry.submission.request === request)
    if (at < 0) return undefined
    const [taken] = lane.waiting.splice(at, 1)
    this.#size -= 1
    if (lane.waiting.length === 0) this.#close(lane)
    return taken
  }

  /** Charges a waiting workspace for `tokens` of service; fewer than 0 correct an estimate. */
  charge (workspace: WorkspaceName, tokens: number): void {
    const lane = this.#lanes.get(workspace)
    if (lane !== undefined) lane.served = Math.max(lane.base, lane.served + tokens)
  }

  /** How many would be served before a new request of this workspace. */
  countBefore (workspace: WorkspaceName): number {
    const own = (this.#lanes.get(workspace)?.waiting.length ?? 0)
    let before = own
    for (const lane of this.#lanes.values()) {
      if (lane.workspace !== workspace) before += Math.min(lane.waiting.length, own + 1)
    }
    return before
  }

  /** The lanes' counters go on from those of the queue that this one replaces. */
  inherit (old: ClassQueue): void {
    this.served = old.served
    this.#floor = old.#floor
  }

  /** Every request that `test` takes, in no special order. */
  collect (test: (entry: Waiting) => boolean): Waiting[] {
    const found: Waiting[] = []
    for (const lane of this.#lanes.values()) {
      for (const entry of lane.waiting) {
        if (test(entry)) found.push(entry)
      }
    }
    return found
  }

  #open (workspace: WorkspaceName): Lane {
    const found = this.#lanes.get(workspace)
    if (found !== undefined) return found
    const base = this.#findLeastServed()
    const lane = { workspace, waiting: [], base, served: base }
    this.#lanes.set(workspace, lane)
    return lane
  }

  #close (lane: Lane): void {
    this.#floor = Math.max(this.#floor, lane.served)
    this.#lanes.delete(lane.workspace)
  }

  // A workspace that comes back after idling must not be owed for the idle time.
  #findLeastServed (): number {
    let least = Infinity
    for (const lane of this.#lanes.values()) least = Math.min(least, lane.served)
    return least === Infinity ? this.#floor : least
  }
}
