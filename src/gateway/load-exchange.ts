/**
 * Gateways tell each other what they have at the endpoints, by datagrams: soon
 * after each change and now and then without one. Each datagram is whole, so
 * that a lost one costs only time.
 */
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { Inbox } from '../runtime/index.js'
import { brandId } from '../core/index.js'
import type { BoxId, BoxLoad, ZoneName } from '../core/index.js'
import { decodeValue, encodeValue } from '../protocol/index.js'
import type { GatewayAddress } from '../protocol/index.js'

/** What the exchange needs of its box. */
export interface LoadExchangeHost {
  readonly id: BoxId
  readonly zone: ZoneName
  now (): number
  composeLoad (): BoxLoad
  notePeer (box: BoxId, load: BoxLoad): void
  dropPeer (box: BoxId): void
  noteZone (zone: ZoneName): void
}

interface Peer {
  address: GatewayAddress
  start: number
  number: number
  heardAt: number
  /** When the registries last named it. */
  namedAt: number
}

type Datagram = readonly [version: number, box: string, zone: string, start: number, number: number, load: BoxLoad]

type Input =
  | { readonly type: 'datagram', readonly bytes: Buffer }
  | { readonly type: 'peers', readonly peers: readonly GatewayAddress[] }
  | { readonly type: 'tick' }

const wireVersion = 1
/** A change is told after this, ms, so that changes of one moment share a datagram. */
const gatherMs = 12
/** Without a change a datagram goes out this often, ms: it is also the sign that a zone can be reached. */
const beatMs = 250
/** A peer that was silent for so long has nothing at the endpoints, ms. */
const silentMs = 1500
/** A peer that no registry named for so long is forgotten, ms. */
const forgetMs = 20_000
/** Datagrams that wait to be read; more are dropped, as the network may. */
const mostWaiting = 2000

export class LoadExchange {
  #host: LoadExchangeHost
  #socket: Socket = createSocket('udp4')
  #inbox = new Inbox<Input>(mostWaiting)
  #peers = new Map<BoxId, Peer>()
  #start = Date.now()
  #number = 0
  #saidAt = -Infinity
  #scheduled = false
  #closed = false
  #timer: NodeJS.Timeout | null = null

  constructor (host: LoadExchangeHost) {
    this.#host = host
    this.#socket.on('message', bytes => this.#inbox.offer({ type: 'datagram', bytes }))
    // A datagram that can't be sent is as good as lost.
    this.#socket.on('error', () => {})
    this.#inbox.run(input => this.#take(input))
  }

  /** Gateways that share this system's work, this one included. */
  get boxCount (): number { return this.#peers.size + 1 }

  listen (host: string, port: number): Promise<number> {
    this.#timer = setInterval(() => this.#inbox.post({ type: 'tick' }), beatMs / 2)
    return new Promise((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(port, host, () => resolve(this.#socket.address().port))
    })
  }

  /** Ends the exchange; a second call does nothing. */
  close (): void {
    if (this.#closed) return
    this.#closed = true
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#inbox.close()
    this.#socket.close()
  }

  /** Takes the gateways that a registry names. */
  setPeers (peers: readonly GatewayAddress[]): void { this.#inbox.post({ type: 'peers', peers }) }

  /** The work of this box has changed. */
  noteChange (): void {
    if (this.#scheduled) return
    this.#scheduled = true
    setTimeout(() => this.#send(), gatherMs)
  }

  #take (input: Input): void {
    switch (input.type) {
      case 'datagram': return this.#receive(input.bytes)
      case 'peers': return this.#noteNamed(input.peers)
      case 'tick': return this.#tick()
    }
  }

  #noteNamed (peers: readonly GatewayAddress[]): void {
    const now = this.#host.now()
    for (const address of peers) {
      if (address.id === this.#host.id) continue
      const known = this.#peers.get(address.id)
      if (known === undefined) this.#peers.set(address.id, { address, start: 0, number: 0, heardAt: -Infinity, namedAt: now })
      else Object.assign(known, { address, namedAt: now })
    }
  }

  #receive (bytes: Buffer): void {
    const datagram = decodeDatagram(bytes)
    if (datagram === null) return
    const [, box, zone, start, number, load] = datagram
    const peer = this.#peers.get(brandId(box))
    if (peer === undefined || start < peer.start || (start === peer.start && number <= peer.number)) return
    Object.assign(peer, { start, number, heardAt: this.#host.now() })
    this.#host.noteZone(brandId(zone))
    this.#host.notePeer(brandId(box), load)
  }

  #tick (): void {
    const now = this.#host.now()
    for (const [box, peer] of this.#peers) {
      if (peer.heardAt > -Infinity && now - peer.heardAt > silentMs) {
        peer.heardAt = -Infinity
        this.#host.dropPeer(box)
      }
      if (now - peer.namedAt > forgetMs) this.#peers.delete(box)
    }
    if (now - this.#saidAt >= beatMs) this.#send()
  }

  #send (): void {
    this.#scheduled = false
    if (this.#closed || this.#peers.size === 0) return
    this.#saidAt = this.#host.now()
    this.#number += 1
    const datagram: Datagram = [wireVersion, this.#host.id, this.#host.zone, this.#start, this.#number, this.#host.composeLoad()]
    const bytes = encodeValue(datagram)
    for (const { address } of this.#peers.values()) this.#socket.send(bytes, address.port, address.host, () => {})
  }
}

// Null for bytes that are no datagram of ours.
function decodeDatagram (bytes: Buffer): Datagram | null {
  try {
    const datagram = decodeValue(bytes) as Datagram
    return Array.isArray(datagram) && datagram[0] === wireVersion && Array.isArray(datagram[5]?.loads) && Array.isArray(datagram[5].demands) && Array.isArray(datagram[5].gaps) ? datagram : null
  } catch {
    return null
  }
}
