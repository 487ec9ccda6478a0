/** Runs the group membership over a UDP socket, with a MAC on every datagram. */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { Membership, defaultMembershipTuning } from '../coordination/index.js'
import type { Member, MemberAddress, MemberEffect, MemberEvent, MemberMessage, MemberState } from '../coordination/index.js'
import { decodeUntrusted, encodeValue } from '../protocol/index.js'

const macBytes = 16
const tickIntervalMs = 50

/** What the task depends on. `secret` is shared by all boxes. */
export interface MemberTaskHost {
  readonly secret: string
  now (): number
  random (): number
  noteChange (member: Member, before: MemberState | null): void
  noteBadDatagram (): void
}

export class MemberTask {
  #membership: Membership
  #host: MemberTaskHost
  #socket: Socket
  #timer: NodeJS.Timeout | null = null
  bytesIn = 0
  bytesOut = 0

  constructor (self: Member, seeds: readonly MemberAddress[], host: MemberTaskHost) {
    this.#host = host
    this.#membership = new Membership(self, seeds, defaultMembershipTuning, () => host.random())
    this.#socket = createSocket(self.host.includes(':') ? 'udp6' : 'udp4')
    this.#socket.on('message', bytes => this.#receive(bytes))
    this.#socket.on('error', () => {})
  }

  get members (): Member[] { return this.#membership.members }
  get knownMembers (): Member[] { return this.#membership.knownMembers }

  /** Opens the UDP socket on the host and port of the control address. */
  start (): Promise<void> {
    const { host, port } = this.#membership.self
    return new Promise((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(port, host, () => {
        this.#timer = setInterval(() => this.#step({ type: 'tick', at: this.#host.now() }), tickIntervalMs)
        resolve()
      })
    })
  }

  /** Announces to other members that this box is leaving. */
  leave (): void {
    this.#step({ type: 'leave', at: this.#host.now() })
  }

  close (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#socket.close()
  }

  #step (event: MemberEvent): void {
    for (const effect of this.#membership.step(event)) this.#perform(effect)
  }

  #perform (effect: MemberEffect): void {
    switch (effect.type) {
      case 'send': return this.#send(effect.to, effect.message)
      case 'changed': return this.#host.noteChange(effect.member, effect.before)
    }
  }

  #send (to: MemberAddress, message: MemberMessage): void {
    const body = encodeValue(message)
    const bytes = Buffer.concat([this.#sign(body), body])
    this.bytesOut += bytes.length
    this.#socket.send(bytes, to.port, to.host, () => {})
  }

  #receive (bytes: Buffer): void {
    this.bytesIn += bytes.length
    const message = this.#verify(bytes)
    if (message === undefined) return this.#host.noteBadDatagram()
    this.#step({ type: 'receive', at: this.#host.now(), message })
  }

  // Replayed datagrams need no further check: their member records are outdated and are ignored.
  #verify (bytes: Buffer): MemberMessage | undefined {
    if (bytes.length <= macBytes) return undefined
    const body = bytes.subarray(macBytes)
    if (!timingSafeEqual(this.#sign(body), bytes.subarray(0, macBytes))) return undefined
    return decodeUntrusted(body) as MemberMessage | undefined
  }

  #sign (body: Uint8Array): Buffer {
    return createHmac('sha256', this.#host.secret).update('member').update(body).digest().subarray(0, macBytes)
  }
}
