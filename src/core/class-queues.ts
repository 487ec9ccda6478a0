/** The queues of all classes, by priority. */
import { ClassQueue } from './class-queue.js'
import type { QueuedRequest } from './class-queue.js'
import type { BoxId, ClassName, RequestId } from './ids.js'
import type { RequestClass } from './request-class.js'
import type { Submission } from './submission.js'

export class ClassQueues {
  #queues: ClassQueue[] = []
  #queued = new Map<RequestId, Submission>()

  get list (): readonly ClassQueue[] { return this.#queues }
  /** Number of queued requests of all classes. */
  get size (): number { return this.#queued.size }

  /** Applies a new list of classes; returns the requests of removed classes. */
  configure (classes: readonly RequestClass[]): Submission[] {
    const old = this.#queues
    this.#queues = [...classes].sort((a, b) => a.priority - b.priority).map(one => new ClassQueue(one))
    return old.flatMap(queue => this.#moveRequests(queue))
  }

  #moveRequests (old: ClassQueue): Submission[] {
    const entries = old.filter(() => true)
    const queue = this.find(old.class.name)
    if (queue === undefined) {
      for (const { submission } of entries) this.#queued.delete(submission.request)
      return entries.map(({ submission }) => submission)
    }
    for (const { submission, enqueuedAt } of entries) queue.push(submission, enqueuedAt)
    queue.inherit(old)
    return []
  }

  find (name: ClassName): ClassQueue | undefined {
    return this.#queues.find(queue => queue.class.name === name)
  }

  getOrCreate (requestClass: RequestClass): ClassQueue {
    const queue = this.find(requestClass.name)
    if (queue !== undefined) return queue
    const created = new ClassQueue(requestClass)
    this.#queues.push(created)
    return created
  }

  push (submission: Submission, requestClass: RequestClass, enqueuedAt: number): void {
    const queue = this.getOrCreate(requestClass)
    if (queue.size === 0) queue.served = Math.max(queue.served, this.#findMinServed(requestClass.priority))
    queue.push(submission, enqueuedAt)
    this.#queued.set(submission.request, submission)
  }

  findQueued (request: RequestId): Submission | undefined { return this.#queued.get(request) }

  /** Removes a request; no-op if it is not queued. */
  remove (request: RequestId): void {
    const submission = this.#queued.get(request)
    if (submission === undefined) return
    this.#queued.delete(request)
    this.find(submission.class)?.remove(submission.workspace, request)
  }

  /** Removes all queued requests of a box. */
  removeByBox (box: BoxId): void {
    for (const [request, submission] of [...this.#queued]) {
      if (submission.box === box) this.remove(request)
    }
  }

  /** Removes and returns all requests of a queue that satisfy `predicate`. */
  removeWhere (queue: ClassQueue, predicate: (entry: QueuedRequest) => boolean): Submission[] {
    const removed = queue.filter(predicate).map(({ submission }) => submission)
    for (const { request } of removed) this.remove(request)
    return removed
  }

  /** True if a request of equal or higher priority is queued for the same model and so has to be served first. */
  hasPreceding (submission: Submission, requestClass: RequestClass): boolean {
    for (const queue of this.#queues) {
      if (queue.size === 0) continue
      if (queue.class.priority > requestClass.priority) return false
      if (queue.findNext(other => other.model === submission.model) !== undefined) return true
    }
    return false
  }

  /** Number of requests that would be served before a new one. Classes of equal priority alternate, so that each is refused only for its own excess. */
  countAhead (submission: Submission, requestClass: RequestClass): number {
    const own = this.getOrCreate(requestClass).countBefore(submission.workspace)
    let ahead = own
    for (const queue of this.#queues) {
      if (queue.class === requestClass || queue.class.mayWait || queue.class.priority > requestClass.priority) continue
      ahead += queue.class.priority < requestClass.priority ? queue.size : Math.min(queue.size, own + 1)
    }
    return ahead
  }

  /** The queues grouped by priority, highest first. */
  listByPriority (): ClassQueue[][] {
    const groups: ClassQueue[][] = []
    for (const queue of this.#queues) {
      const last = groups.at(-1)
      if (last !== undefined && last[0].class.priority === queue.class.priority) last.push(queue)
      else groups.push([queue])
    }
    return groups
  }

  // A class that was idle gets no credit for the idle time.
  #findMinServed (priority: number): number {
    let min = Infinity
    for (const queue of this.#queues) {
      if (queue.size > 0 && queue.class.priority === priority) min = Math.min(min, queue.served)
    }
    return min === Infinity ? 0 : min
  }
}
