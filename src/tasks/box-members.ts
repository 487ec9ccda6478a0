/** The other entry boxes known to a box: the membership, the boxes that share workspace limits, and links to peers. */
import { performance } from 'node:perf_hooks'
import type { EntrySettings } from '../config/index.js'
import type { Member } from '../coordination/index.js'
import { brandId, listSharers } from '../core/index.js'
import type { BoxId, ShardBox, ZoneName } from '../core/index.js'
import type { BoxMessage, LinkPool } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import { MemberTask } from './member-task.js'
import { rotate } from './rotate.js'

/** Number of boxes in the same zone that a box polls for configuration at a time. */
const maxZonePeers = 2

/** Functions of the box that `BoxMembers` depends on. */
export interface BoxMembersHost {
  readonly settings: EntrySettings
  readonly secret: string
  readonly links: LinkPool<BoxMessage>
  readonly log: EventLog
  readonly metrics: Metrics
  /** Called when a box has joined, changed its state or gone. `isGone`: it has failed or left, and its requests are lost. */
  noteChange (id: BoxId, isGone: boolean): void
}

export class BoxMembers {
  #host: BoxMembersHost
  #task: MemberTask | null = null
  #dialedAddresses = new Set<string>()

  constructor (host: BoxMembersHost) {
    this.#host = host
  }

  /** True once `start` has been called. */
  get isStarted (): boolean { return this.#task !== null }
  get bytesIn (): number { return this.#task?.bytesIn ?? 0 }
  get bytesOut (): number { return this.#task?.bytesOut ?? 0 }

  /** Joins the membership. `port`: the port on which this box accepts links. */
  async start (incarnation: number, port: number): Promise<void> {
    const { settings, secret, metrics } = this.#host
    const { control, zone, id, members } = settings
    const self: Member = { id, incarnation, zone, host: control.host, port, state: 'alive', version: 0 }
    this.#task = new MemberTask(self, members, {
      secret,
      now: () => performance.now(),
      random: Math.random,
      noteChange: (member, before) => this.#noteMember(member, before),
      noteBadDatagram: () => metrics.count('bad-datagram')
    })
    await this.#task.start()
  }

  leave (): void { this.#task?.leave() }
  close (): void { this.#task?.close() }

  /** Boxes that may own shards. */
  listBoxes (): ShardBox[] {
    return this.#members
      .filter(member => member.state === 'alive' || member.state === 'suspect')
      .map(member => ({ id: brandId<BoxId>(member.id), zone: brandId<ZoneName>(member.zone) }))
  }

  /** The other boxes among which workspace limits are divided. */
  listSharers (): string[] {
    const knownMembers = this.#task?.knownMembers ?? []
    const sharers = listSharers(knownMembers.map(({ id, zone, state }) => ({ id, zone, isGone: state === 'gone' })))
    return sharers.filter(sharer => sharer.id !== this.#host.settings.id).map(sharer => sharer.id)
  }

  /** Some other boxes in the same zone; the choice rotates with `turn`. */
  listZonePeers (turn: number): Member[] {
    const { id, zone } = this.#host.settings
    const peers = this.#members.filter(member => member.zone === zone && member.id !== id)
    return rotate(peers, turn).slice(0, maxZonePeers)
  }

  /** Dials the given boxes, except those that are unknown or already dialed. */
  dial (ids: ReadonlySet<BoxId>): void {
    for (const member of this.#members) {
      if (member.id === this.#host.settings.id || !ids.has(brandId<BoxId>(member.id))) continue
      const key = `${member.host}:${member.port}`
      if (this.#dialedAddresses.has(key)) continue
      this.#dialedAddresses.add(key)
      this.#host.links.dial(member.host, member.port)
    }
  }

  get #members (): readonly Member[] { return this.#task?.members ?? [] }

  #noteMember (member: Member, before: string | null): void {
    this.#host.log.info('member', { member: member.id, state: member.state, before, zone: member.zone })
    const isGone = member.state === 'gone'
    if (isGone) {
      this.#host.links.disconnect(member.host, member.port)
      this.#dialedAddresses.delete(`${member.host}:${member.port}`)
    }
    this.#host.noteChange(brandId<BoxId>(member.id), isGone)
  }
}
