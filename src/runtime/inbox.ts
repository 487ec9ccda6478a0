import csp from 'js-csp'

/**
 * The mailbox of a task. Messages stand in a list that the task drains whole;
 * a channel with room for one signal wakes it. A js-csp channel throws at its
 * 1,025th pending put, so messages themselves never wait as puts.
 */
export class Inbox<Message> {
  #waiting: Message[] = []
  #signal = csp.chan(csp.buffers.dropping(1))
  #limit: number
  #closed = false

  /** `limit`: messages that `offer` lets stand before it turns one away. */
  constructor (limit: number) {
    this.#limit = limit
  }

  get size (): number { return this.#waiting.length }

  /**
   * Posts a message that must not be lost. Their number is bounded by what
   * causes them: one or two for each request that was let in.
   */
  post (message: Message): void {
    if (this.#closed) return
    this.#waiting.push(message)
    if (this.#waiting.length === 1) csp.putAsync(this.#signal, true)
  }

  /** Posts a message that may be turned away; false where the inbox is full. */
  offer (message: Message): boolean {
    if (this.#closed || this.#waiting.length >= this.#limit) return false
    this.post(message)
    return true
  }

  /** Ends the task that drains this inbox once it has handled what stands. */
  close (): void {
    this.#closed = true
    this.#signal.close()
  }

  /**
   * Starts a task that hands each message to `handle`, and calls `settle` after
   * each run of messages. Both run to their end before the next message.
   */
  run (handle: (message: Message) => void, settle?: () => void): void {
    const take = (): void => {
      const messages = this.#waiting
      this.#waiting = []
      for (const message of messages) handle(message)
      if (settle !== undefined) settle()
    }
    const signal = this.#signal
    csp.go(function * () {
      while ((yield csp.take(signal)) !== csp.CLOSED) take()
      take()
    })
  }
}
