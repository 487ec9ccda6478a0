import csp from 'js-csp'

/**
 * The mailbox of a task. Messages are queued in an array that the task drains in
 * batches; a channel with a buffer of one wakes it. Messages are not put on the
 * channel itself, as a js-csp channel throws at its 1,025th pending put.
 */
export class Inbox<Message> {
  #queue: Message[] = []
  #signal = csp.chan(csp.buffers.dropping(1))
  #limit: number
  #isClosed = false

  /** `limit`: queue length at which `offer` rejects messages. */
  constructor (limit: number) {
    this.#limit = limit
  }

  get size (): number { return this.#queue.length }

  /**
   * Posts a message that must not be lost, regardless of the limit. The number of
   * such messages is bounded by their cause: one or two for each admitted request.
   */
  post (message: Message): void {
    if (this.#isClosed) return
    this.#queue.push(message)
    if (this.#queue.length === 1) csp.putAsync(this.#signal, true)
  }

  /** Posts a message if the inbox has room; returns false otherwise. */
  offer (message: Message): boolean {
    if (this.#isClosed || this.#queue.length >= this.#limit) return false
    this.post(message)
    return true
  }

  /** Rejects further messages and ends the task after it has handled the queued ones. */
  close (): void {
    this.#isClosed = true
    this.#signal.close()
  }

  /**
   * Starts a task that calls `handle` for each message and `afterBatch` after each
   * batch. Both are synchronous.
   */
  run (handle: (message: Message) => void, afterBatch?: () => void): void {
    const drain = (): void => {
      const messages = this.#queue
      this.#queue = []
      for (const message of messages) handle(message)
      if (afterBatch !== undefined) afterBatch()
    }
    const signal = this.#signal
    csp.go(function * () {
      while ((yield csp.take(signal)) !== csp.CLOSED) drain()
      drain()
    })
  }
}
