/**
 * HTTP client for the calls of a duty. Each call has its own connection, and
 * permission is checked after it opens, right before the first byte is written,
 * as connecting may take long. A call that times out has its connection reset,
 * so that the network drops whatever of it is still in transit.
 */
import { request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { Address } from '../config/index.js'
import { resetSocket } from '../protocol/index.js'
import type { OutgoingRequest } from '../protocol/index.js'

/** The result of a call; `not-held`: not sent, as this box no longer holds the duty. */
export type DutyCallResult =
  | { readonly type: 'answered', readonly status: number }
  | { readonly type: 'failed', readonly reason: string }
  | { readonly type: 'not-held' }

/** Connection time-out, ms: many times the round trip to the platform. */
const connectTimeoutMs = 400

export class DutyClient {
  #address: Address
  /** A call without a response is reset after this, ms. */
  readonly callTimeoutMs: number
  #sockets = new Set<Socket>()
  #lastUnknownOutcomeAt = -Infinity

  constructor (address: Address, callMs: number) {
    this.#address = address
    this.callTimeoutMs = callMs
  }

  /** Upper bound of a call's duration, connecting included, ms. */
  get maxDurationMs (): number { return connectTimeoutMs + this.callTimeoutMs }

  /** Calls in flight. */
  get openCount (): number { return this.#sockets.size }

  /** When a call last ended that may still arrive at the platform, on the process's monotonic clock, ms. */
  get lastUnknownOutcomeAt (): number { return this.#lastUnknownOutcomeAt }

  /** Makes a call. `compose` returns the request to send at this moment, or null where it may not be sent. */
  call (compose: () => OutgoingRequest | null): Promise<DutyCallResult> {
    return new Promise(resolve => {
      const socket = connect(this.#address)
      this.#sockets.add(socket)
      let isWritten = false
      let timer = setTimeout(() => finish({ type: 'failed', reason: 'no connection' }), connectTimeoutMs)
      const finish = (result: DutyCallResult): void => {
        clearTimeout(timer)
        if (!this.#sockets.delete(socket)) return
        if (isWritten && result.type !== 'answered') this.#lastUnknownOutcomeAt = performance.now()
        resolve(result)
        if (result.type === 'answered') socket.destroy()
        else resetSocket(socket)
      }
      socket.on('error', error => finish({ type: 'failed', reason: error.message }))
      socket.once('connect', () => {
        clearTimeout(timer)
        try {
          const call = compose()
          if (call === null) return finish({ type: 'not-held' })
          isWritten = true
          timer = setTimeout(() => finish({ type: 'failed', reason: 'no answer' }), this.callTimeoutMs)
          send(socket, call, finish)
        } catch (error) {
          finish({ type: 'failed', reason: (error as Error).message })
        }
      })
    })
  }

  /** Resets all calls in flight. */
  close (): void {
    for (const socket of this.#sockets) resetSocket(socket)
  }
}

function send (socket: Socket, { method, path, headers, body }: OutgoingRequest, finish: (result: DutyCallResult) => void): void {
  const request = httpRequest({ createConnection: () => socket, method, path, headers: { ...headers, 'content-length': Buffer.byteLength(body), connection: 'close' } }, answer => {
    answer.resume()
    answer.on('end', () => finish({ type: 'answered', status: answer.statusCode ?? 0 }))
    answer.on('error', error => finish({ type: 'failed', reason: error.message }))
  })
  request.on('error', error => finish({ type: 'failed', reason: error.message }))
  request.end(body)
}
