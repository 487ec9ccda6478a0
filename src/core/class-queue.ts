import type { RequestId, WorkspaceName } from './ids.js'
import type { RequestClass } from './request-class.js'
import type { Submission } from './submission.js'

export interface QueuedRequest {
  readonly submission: Submission
  readonly enqueuedAt: number
}

/** The queued requests of one workspace, earliest deadline first. */
interface WorkspaceQueue {
  readonly workspace: WorkspaceName
  readonly waiting: QueuedRequest[]
  /** Value of `served` at creation. Corrections never reduce `served` below it, as earlier service was not charged to this queue. */
  readonly initialServed: number
  served: number
}

/**
 * The queue of one class. The workspace with the least service received, in
 * tokens, goes first (based on VTC, Sheng et al., OSDI 2024); within a workspace the
 * earliest deadline, which within a class is also the order of least slack.
 */
export class ClassQueue {
  readonly class: RequestClass
  /** Service received by the class, tokens; for fairness among classes of equal priority. */
  served = 0
  #workspaces = new Map<WorkspaceName, WorkspaceQueue>()
  #size = 0
  #servedBaseline = 0

  constructor (requestClass: RequestClass) {
    this.class = requestClass
  }

  get size (): number { return this.#size }

  push (submission: Submission, enqueuedAt: number): void {
    const queue = this.#getOrCreate(submission.workspace)
    const entry = { submission, enqueuedAt }
    let index = queue.waiting.length
    while (index > 0 && queue.waiting[index - 1].submission.deadline > submission.deadline) index -= 1
    queue.waiting.splice(index, 0, entry)
    this.#size += 1
  }

  /** The request to serve next. Skips a workspace whose first request `fits` rejects. */
  findNext (fits: (submission: Submission) => boolean): QueuedRequest | undefined {
    let best: WorkspaceQueue | undefined
    for (const queue of this.#workspaces.values()) {
      if (best !== undefined && best.served <= queue.served) continue
      if (fits(queue.waiting[0].submission)) best = queue
    }
    return best?.waiting[0]
  }

  /** Removes a request; undefined if it is not queued. */
  remove (workspace: WorkspaceName, request: RequestId): QueuedRequest | undefined {
    const queue = this.#workspaces.get(workspace)
    if (queue === undefined) return undefined
    const index = queue.waiting.findIndex(entry => entry.submission.request === request)
    if (index < 0) return undefined
    const [removed] = queue.waiting.splice(index, 1)
    this.#size -= 1
    if (queue.waiting.length === 0) this.#removeQueue(queue)
    return removed
  }

  /** Charges a queued workspace for `tokens` of service; a negative number corrects an estimate. */
  charge (workspace: WorkspaceName, tokens: number): void {
    const queue = this.#workspaces.get(workspace)
    if (queue !== undefined) queue.served = Math.max(queue.initialServed, queue.served + tokens)
  }

  /** Number of requests that would be served before a new request of this workspace. */
  countBefore (workspace: WorkspaceName): number {
    const own = (this.#workspaces.get(workspace)?.waiting.length ?? 0)
    let before = own
    for (const queue of this.#workspaces.values()) {
      if (queue.workspace !== workspace) before += Math.min(queue.waiting.length, own + 1)
    }
    return before
  }

  /** Takes over the service counters of the queue that this one replaces. */
  inherit (old: ClassQueue): void {
    this.served = old.served
    this.#servedBaseline = old.#servedBaseline
  }

  /** All requests that satisfy `predicate`, in no particular order. */
  filter (predicate: (entry: QueuedRequest) => boolean): QueuedRequest[] {
    const found: QueuedRequest[] = []
    for (const queue of this.#workspaces.values()) {
      for (const entry of queue.waiting) {
        if (predicate(entry)) found.push(entry)
      }
    }
    return found
  }

  #getOrCreate (workspace: WorkspaceName): WorkspaceQueue {
    const found = this.#workspaces.get(workspace)
    if (found !== undefined) return found
    const initialServed = this.#findMinServed()
    const created = { workspace, waiting: [], initialServed, served: initialServed }
    this.#workspaces.set(workspace, created)
    return created
  }

  #removeQueue (queue: WorkspaceQueue): void {
    this.#servedBaseline = Math.max(this.#servedBaseline, queue.served)
    this.#workspaces.delete(queue.workspace)
  }

  // A workspace that was idle gets no credit for the idle time.
  #findMinServed (): number {
    let min = Infinity
    for (const queue of this.#workspaces.values()) min = Math.min(min, queue.served)
    return min === Infinity ? this.#servedBaseline : min
  }
}
