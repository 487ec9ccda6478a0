/** A replica of a history, with a fake of its disk and of its state machine: a list of values. */
import type { RaftEffect, RaftNode, ReplicaId, StoredLog } from '../coordination/index.js'
import { EntryList } from '../coordination/log/entry-list.js'

export type PersistEffect = Extract<RaftEffect, { type: 'persist' }>
export type SendEffect = Extract<RaftEffect, { type: 'send' }>

/** A disk that keeps only what was synced. */
export class FakeDisk {
  #stored: StoredLog

  constructor (stored: StoredLog) {
    this.#stored = stored
  }

  get stored (): StoredLog { return this.#stored }

  write (effects: readonly PersistEffect[]): void {
    for (const effect of effects) this.#writeEffect(effect)
  }

  #writeEffect (effect: PersistEffect): void {
    const list = new EntryList(this.#stored.snapshot, this.#stored.entries)
    list.append(effect.entries)
    if (effect.snapshot !== null) list.compact(effect.snapshot)
    this.#stored = {
      hard: effect.hard ?? this.#stored.hard,
      snapshot: list.snapshot,
      entries: list.slice(list.base + 1, Infinity)
    }
  }
}

/** One replica with its disk, and what it has not synced yet. */
export interface Peer {
  readonly id: ReplicaId
  readonly disk: FakeDisk
  node: RaftNode | null
  unsynced: PersistEffect[]
  sendsAfterSync: SendEffect[]
  /** What the state machine holds: the values applied, in order. */
  applied: string[]
  appliedIndex: number
  isPaused: boolean
  /** This replica's clock, which drifts and stands still in a pause. */
  clock: number
}
