import type { ActiveSend } from './active-send.js'
import type { AdmittedRequest } from './admitted-request.js'
import type { ExchangeHost } from './exchange-host.js'

/** Reports of one request: when its answer began, and, once over all endpoints at which it continues, that it was run. */
export class RunReport<E> {
  #host: ExchangeHost<E>
  #request: AdmittedRequest
  #firstOutputAt: number | null = null
  #isReported = false

  constructor (host: ExchangeHost<E>, request: AdmittedRequest) {
    this.#host = host
    this.#request = request
  }

  /** From arrival to the answer, or its first event, ms; null before it. */
  get firstMs (): number | null { return this.#firstOutputAt === null ? null : this.#firstOutputAt - this.#request.arrivedAt }

  /** Notes that an endpoint has begun its answer. */
  noteFirst (sent: ActiveSend): void {
    const now = this.#host.now()
    this.#firstOutputAt ??= now
    sent.view.noteFirst(sent.placed, now)
    // A stream counts as started at its first event, a plain call when it was sent.
    this.noteRun(sent.splitter === null ? sent.attempt.sentAt : now)
    this.#host.noteLoad()
  }

  /** Notes that an endpoint started the request at `at`. */
  noteRun (at: number): void {
    if (this.#isReported) return
    this.#isReported = true
    this.#host.noteRun(this.#request, at)
  }
}
