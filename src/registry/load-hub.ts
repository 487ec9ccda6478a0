/**
 * A hub of loads: gateways tell it their work by datagrams, and it tells them
 * the totals. Every registry is ready to be one; gateways choose. The work of a
 * hub grows with its gateways, a gateway's doesn't.
 */
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { randomInt } from 'node:crypto'
import { LoadBook } from '../core/index.js'
import type { BoxId } from '../core/index.js'
import { decodeLoadWord, encodeTotals, encodeTotalsWord } from '../protocol/index.js'
import { Inbox } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the hub needs of its box. */
export interface LoadHubHost {
  readonly log: EventLog
  now (): number
}

interface Teller {
  host: string
  port: number
  start: number
  number: number
  wantsTotals: boolean
}

type Input =
  | { readonly type: 'datagram', readonly bytes: Buffer, readonly host: string, readonly port: number }
  | { readonly type: 'tick' }
  | { readonly type: 'tell' }

/** Totals are told no more often than this, ms: below what an engine reads a prompt in. */
const leastIntervalMs = 10
/** Part of a core's time, in ms for each gateway and interval, that telling may take: about 1,000 datagrams a second in all. */
const intervalPerGatewayMs = 1
/** Totals older than this are worth little, ms. */
const mostIntervalMs = 300
/** Without a change the totals are told this often, ms: they are also the sign that the hub lives. */
const beatMs = 200
/** Datagrams that wait to be read; more are dropped, as the network may. */
const mostWaiting = 5000
/** Starts are drawn below this. */
const starts = 2 ** 31

export class LoadHub {
  #host: LoadHubHost
  #socket: Socket = createSocket('udp4')
  #inbox = new Inbox<Input>(mostWaiting)
  #book = new LoadBook()
  #tellers = new Map<BoxId, Teller>()
  #start = randomInt(starts)
  #number = 0
  #toldAt = -Infinity
  #isScheduled = false
  #closed = false
  #timer: NodeJS.Timeout | null = null

  constructor (host: LoadHubHost) {
    this.#host = host
    this.#socket.on('message', (bytes, from) => this.#inbox.offer({ type: 'datagram', bytes, host: from.address, port: from.port }))
    this.#socket.on('error', error => host.log.warn('load-port-fault', { error: error.message }))
    this.#inbox.run(input => this.#take(input))
  }

  /** Gateways that tell this hub their work. */
  get gatewayCount (): number { return this.#tellers.size }

  listen (host: string, port: number): Promise<number> {
    this.#timer = setInterval(() => this.#inbox.post({ type: 'tick' }), beatMs / 2)
    return new Promise((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(port, host, () => resolve(this.#socket.address().port))
    })
  }

  /** Ends the hub; a second call does nothing. */
  close (): void {
    if (this.#closed) return
    this.#closed = true
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#inbox.close()
    this.#socket.close()
  }

  get #intervalMs (): number {
    return Math.min(mostIntervalMs, Math.max(leastIntervalMs, this.#tellers.size * intervalPerGatewayMs))
  }

  #take (input: Input): void {
    switch (input.type) {
      case 'datagram': return this.#receive(input.bytes, input.host, input.port)
      case 'tick': return this.#tick()
      case 'tell': return this.#tell()
    }
  }

  #receive (bytes: Buffer, host: string, port: number): void {
    const word = decodeLoadWord(bytes)
    if (word === null) return
    const { box, zone, start, number, wantsTotals, load } = word
    const known = this.#tellers.get(box)
    if (known !== undefined && known.start === start && known.number >= number) return
    this.#tellers.set(box, { host, port, start, number, wantsTotals })
    this.#book.note(box, zone, load, this.#host.now())
    this.#schedule()
  }

  #tick (): void {
    const now = this.#host.now()
    for (const box of this.#book.forgetSilent(now)) {
      this.#tellers.delete(box)
      this.#host.log.warn('gateway-silent', { gateway: box })
    }
    if (now - this.#toldAt >= beatMs) this.#tell()
  }

  // Changes of one interval share a datagram.
  #schedule (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    const waitMs = Math.max(0, this.#toldAt + this.#intervalMs - this.#host.now())
    setTimeout(() => this.#inbox.post({ type: 'tell' }), waitMs)
  }

  #tell (): void {
    this.#isScheduled = false
    if (this.#closed || this.#tellers.size === 0) return
    const now = this.#host.now()
    this.#toldAt = now
    this.#number += 1
    const totals = encodeTotals(this.#book.sum(now))
    const word = { start: this.#start, number: this.#number, intervalMs: this.#intervalMs }
    for (const { host, port, number, wantsTotals } of this.#tellers.values()) {
      // A datagram that can't be sent is as good as lost.
      if (wantsTotals) this.#socket.send(encodeTotalsWord({ ...word, ownNumber: number }, totals), port, host, () => {})
    }
  }
}
