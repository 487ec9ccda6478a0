/**
 * Makes a duty's calls. Each has a connection of its own, and whether it may be
 * made is asked once that is open, right before the first byte is written: a
 * connection may take long to come about. A call that isn't answered in time is
 * reset, so that what the network still holds of it is dropped.
 */
import { request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { Address } from '../config/index.js'
import { resetSocket } from '../protocol/index.js'
import type { OutsideCall } from '../protocol/index.js'

/** How a call ended; `not-held`: it was not made, as the duty is not this box's any more. */
export type DutyCallResult =
  | { readonly type: 'answered', readonly status: number }
  | { readonly type: 'failed', readonly reason: string }
  | { readonly type: 'not-held' }

/** A connection that takes longer won't come about, ms: many times the way to the platform. */
const connectTimeoutMs = 400

export class DutyClient {
  #address: Address
  /** A call that is answered later is reset, ms. */
  readonly callTimeoutMs: number
  #sockets = new Set<Socket>()
  #lastUnknownOutcomeAt = -Infinity

  constructor (address: Address, callMs: number) {
    this.#address = address
    this.callTimeoutMs = callMs
  }

  /** The longest that a call takes from its start to its end, ms. */
  get maxDurationMs (): number { return connectTimeoutMs + this.callTimeoutMs }

  /** Calls under way. */
  get openCount (): number { return this.#sockets.size }

  /** When a call last ended of which it isn't known whether it may still arrive, on the process's rising clock, ms. */
  get lastUnknownOutcomeAt (): number { return this.#lastUnknownOutcomeAt }

  /** Makes a call. `compose`: the call as it may go out at this moment; null where it may not. */
  call (compose: () => OutsideCall | null): Promise<DutyCallResult> {
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
        const call = compose()
        if (call === null) return finish({ type: 'not-held' })
        isWritten = true
        timer = setTimeout(() => finish({ type: 'failed', reason: 'no answer' }), this.callTimeoutMs)
        send(socket, call, finish)
      })
    })
  }

  /** Resets all that is under way. */
  close (): void {
    for (const socket of this.#sockets) resetSocket(socket)
  }
}

function send (socket: Socket, { method, path, headers, body }: OutsideCall, finish: (result: DutyCallResult) => void): void {
  const request = httpRequest({ createConnection: () => socket, method, path, headers: { ...headers, 'content-length': Buffer.byteLength(body), connection: 'close' } }, answer => {
    answer.resume()
    answer.on('end', () => finish({ type: 'answered', status: answer.statusCode ?? 0 }))
    answer.on('error', error => finish({ type: 'failed', reason: error.message }))
  })
  request.on('error', error => finish({ type: 'failed', reason: error.message }))
  request.end(body)
}
