/**
 * Tells this box's work to two hubs, soon after each change and now and then
 * without one, and takes the totals of the first of them; where that one falls
 * silent, of the other. All gateways choose the same hubs, as far as they reach
 * them.
 */
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { randomInt } from 'node:crypto'
import { noTotals, rankByHash, subtractOwn } from '../core/index.js'
import type { BoxId, BoxLoad, LoadTotals, ZoneName } from '../core/index.js'
import { decodeTotalsWord, encodeLoadWord } from '../protocol/index.js'
import type { TotalsWord } from '../protocol/index.js'
import { Inbox } from '../runtime/index.js'
import type { EventLog } from '../runtime/index.js'

/** What the reporter needs of its box. */
export interface LoadReporterHost {
  readonly id: BoxId
  readonly zone: ZoneName
  readonly log: EventLog
  /** UDP port of hubs. */
  readonly hubPort: number
  now (): number
  /** Hosts of the registries that can be reached just now. */
  listHubs (): readonly string[]
  composeLoad (): BoxLoad
  /** Takes what all other boxes have; `intervalMs`: how often that is told. */
  takeOthers (others: LoadTotals, intervalMs: number): void
}

interface Hub {
  start: number
  number: number
  heardAt: number
}

type Input =
  | { readonly type: 'datagram', readonly bytes: Buffer, readonly host: string }
  | { readonly type: 'tick' }

/** A change is told after this, ms, so that changes of one moment share a datagram; later where the hub tells more seldom. */
const gatherMs = 8
/** Part of the hub's interval after which a change is told. */
const gatherShare = 0.4
/** Without a change a word goes out this often, ms. */
const beatMs = 250
/** A hub's totals are taken as long as it was heard in this time, ms: two of its beats and a little. */
const hubSilentMs = 450
/** After so long without a word of any hub the others' work no longer counts, ms. */
const forgetMs = 1500
/** Hubs that are told at once. */
const hubsTold = 2
/** Own words that are kept, to be taken off totals that hold them: those of a second at the fastest pace. */
const mostKept = 128
/** Datagrams that wait to be read; more are dropped, as the network may. */
const mostWaiting = 2000
/** Starts are drawn below this. */
const starts = 2 ** 31

export class LoadReporter {
  #host: LoadReporterHost
  #socket: Socket = createSocket('udp4')
  #inbox = new Inbox<Input>(mostWaiting)
  #hubs = new Map<string, Hub>()
  #start = randomInt(starts)
  #number = 0
  #kept = new Map<number, BoxLoad>()
  #source = ''
  #intervalMs = 0
  #saidAt = -Infinity
  #heardAt = -Infinity
  #isScheduled = false
  #closed = false
  #timer: NodeJS.Timeout | null = null

  constructor (host: LoadReporterHost) {
    this.#host = host
    this.#socket.on('message', (bytes, from) => this.#inbox.offer({ type: 'datagram', bytes, host: from.address }))
    this.#socket.on('error', error => host.log.warn('load-port-fault', { error: error.message }))
    this.#inbox.run(input => this.#take(input))
  }

  /** Begins to tell; hubs answer to whatever port the words come from. */
  open (host: string): Promise<void> {
    this.#timer = setInterval(() => this.#inbox.post({ type: 'tick' }), beatMs / 2)
    return new Promise((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(0, host, () => resolve())
    })
  }

  /** Ends the reporter; a second call does nothing. */
  close (): void {
    if (this.#closed) return
    this.#closed = true
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#inbox.close()
    this.#socket.close()
  }

  /** The work of this box has changed. */
  noteChange (): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    setTimeout(() => this.#send(), Math.max(gatherMs, this.#intervalMs * gatherShare))
  }

  #take (input: Input): void {
    switch (input.type) {
      case 'datagram': return this.#receive(input.bytes, input.host)
      case 'tick': return this.#tick()
    }
  }

  #receive (bytes: Buffer, from: string): void {
    const word = decodeTotalsWord(bytes)
    if (word === null) return
    const known = this.#hubs.get(from)
    if (known !== undefined && known.start === word.start && known.number >= word.number) return
    const now = this.#host.now()
    this.#hubs.set(from, { start: word.start, number: word.number, heardAt: now })
    if (this.#chooseSource(now) === from) this.#adopt(from, word, now)
  }

  #adopt (from: string, word: TotalsWord, now: number): void {
    if (this.#source !== from) this.#host.log.info('hub-chosen', { hub: from, before: this.#source })
    this.#source = from
    this.#heardAt = now
    this.#intervalMs = word.intervalMs
    this.#host.takeOthers(subtractOwn(word.totals, this.#kept.get(word.ownNumber) ?? null), word.intervalMs)
  }

  // The first of the hubs told that is heard.
  #chooseSource (now: number): string | undefined {
    return this.#listTold().find(host => now - (this.#hubs.get(host)?.heardAt ?? -Infinity) <= hubSilentMs)
  }

  #listTold (): string[] {
    return rankByHash('hub', this.#host.listHubs()).slice(0, hubsTold)
  }

  #tick (): void {
    const now = this.#host.now()
    if (this.#heardAt > -Infinity && now - this.#heardAt > forgetMs) {
      this.#heardAt = -Infinity
      this.#host.log.warn('hubs-silent', { hub: this.#source })
      this.#source = ''
      this.#host.takeOthers(noTotals, 0)
    }
    if (now - this.#saidAt >= beatMs) this.#send()
  }

  #send (): void {
    this.#isScheduled = false
    if (this.#closed) return
    const now = this.#host.now()
    this.#saidAt = now
    const told = this.#listTold()
    if (told.length === 0) return
    const load = this.#host.composeLoad()
    this.#number += 1
    this.#keep(load)
    const { id, zone, hubPort } = this.#host
    const source = this.#chooseSource(now)
    const word = { box: id, zone, start: this.#start, number: this.#number, load }
    told.forEach((host, i) => {
      // The second hub's totals are wanted only where the first one's don't come.
      const wantsTotals = i === 0 || source !== told[0]
      this.#socket.send(encodeLoadWord({ ...word, wantsTotals }), hubPort, host, () => {})
    })
  }

  #keep (load: BoxLoad): void {
    this.#kept.set(this.#number, load)
    this.#kept.delete(this.#number - mostKept)
  }
}
