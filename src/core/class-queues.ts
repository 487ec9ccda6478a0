/** The queues of all classes, in order of priority, and the requests that wait in them. */
import { ClassQueue } from './class-queue.js'
import type { Waiting } from './class-queue.js'
import type { BoxId, ClassName, RequestId } from './ids.js'
import type { RequestClass } from './request-class.js'
import type { Submission } from './submission.js'

export class ClassQueues {
  #queues: ClassQueue[] = []
  #waiting = new Map<RequestId, Submission>()

  get list (): readonly ClassQueue[] { return this.#queues }
  /** Requests that wait, of all classes. */
  get waiting (): number { return this.#waiting.size }

  /** Takes over the classes; returns requests of classes that are no more. */
  configure (classes: readonly RequestClass[]): Submission[] {
    const old = this.#queues
    this.#queues = [...classes].sort((a, b) => a.priority - b.priority).map(one => new ClassQueue(one))
    return old.flatMap(queue => this.#moveOver(queue))
  }

  #moveOver (old: ClassQueue): Submission[] {
    const entries = old.collect(() => true)
    const queue = this.find(old.class.name)
    if (queue === undefined) {
      for (const { submission } of entries) this.#waiting.delete(submission.request)
      return entries.map(({ submission }) => submission)
    }
    for (const { submission, since } of entries) queue.push(submission, since)
    queue.inherit(old)
    return []
  }

  find (name: ClassName): ClassQueue | undefined {
    return this.#queues.find(queue => queue.class.name === name)
  }

  open (of: RequestClass): ClassQueue {
    const queue = this.find(of.name)
    if (queue !== undefined) return queue
    const made = new ClassQueue(of)
    this.#queues.push(made)
    return made
  }

  push (submission: Submission, wanted: RequestClass, at: number): void {
    const queue = this.open(wanted)
    if (queue.size === 0) queue.served = Math.max(queue.served, this.#findLeastServed(wanted.priority))
    queue.push(submission, at)
    this.#waiting.set(submission.request, submission)
  }

  findWaiting (request: RequestId): Submission | undefined { return this.#waiting.get(request) }

  /** Takes a request out; nothing where it does not wait. */
  remove (request: RequestId): void {
    const submission = this.#waiting.get(request)
    if (submission === undefined) return
    this.#waiting.delete(request)
    this.find(submission.class)?.remove(submission.workspace, request)
  }

  /** Takes out what a box has waiting. */
  removeOf (box: BoxId): void {
    for (const [request, submission] of [...this.#waiting]) {
      if (submission.box === box) this.remove(request)
    }
  }

  /** Takes out every request of a queue that `test` takes. */
  takeAll (queue: ClassQueue, test: (entry: Waiting) => boolean): Submission[] {
    const taken = queue.collect(test).map(({ submission }) => submission)
    for (const { request } of taken) this.remove(request)
    return taken
  }

  /** True where a request of the same or a higher class waits for the same model: it goes first. */
  hasBefore (submission: Submission, wanted: RequestClass): boolean {
    for (const queue of this.#queues) {
      if (queue.size === 0) continue
      if (queue.class.priority > wanted.priority) return false
      if (queue.findNext(other => other.model === submission.model) !== undefined) return true
    }
    return false
  }

  /** Requests that are served before a new one. Classes of one priority take turns, so each is refused for its own excess. */
  countAhead (submission: Submission, wanted: RequestClass): number {
    const own = this.open(wanted).countBefore(submission.workspace)
    let ahead = own
    for (const queue of this.#queues) {
      if (queue.class === wanted || queue.class.mayWait || queue.class.priority > wanted.priority) continue
      ahead += queue.class.priority < wanted.priority ? queue.size : Math.min(queue.size, own + 1)
    }
    return ahead
  }

  /** The queues by priority, those of one priority together. */
  listByPriority (): ClassQueue[][] {
    const groups: ClassQueue[][] = []
    for (const queue of this.#queues) {
      const last = groups.at(-1)
      if (last !== undefined && last[0].class.priority === queue.class.priority) last.push(queue)
      else groups.push([queue])
    }
    return groups
  }

  // A class that comes back after idling is not owed for the idle time.
  #findLeastServed (priority: number): number {
    let least = Infinity
    for (const queue of this.#queues) {
      if (queue.size > 0 && queue.class.priority === priority) least = Math.min(least, queue.served)
    }
    return least === Infinity ? 0 : least
  }
}
