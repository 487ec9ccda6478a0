/** A replica in a simulated run, with a fake disk and a fake state machine: a list of values. */
import type { RaftEffect, RaftNode, ReplicaId, StoredLog } from '../coordination/index.js'
import { EntryList } from '../coordination/log/entry-list.js'

export type PersistEffect = Extract<RaftEffect, { type: 'persist' }>
export type SendEffect = Extract<RaftEffect, { type: 'send' }>

/** An in-memory disk; unsynced writes are kept outside it and are lost in a crash unless the caller writes some of them. */
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
      entries: list.slice(list.snapshotIndex + 1, Infinity)
    }
  }
}

/** One replica with its disk and its unsynced writes. */
export interface Peer {
  readonly id: ReplicaId
  readonly disk: FakeDisk
  node: RaftNode | null
  unsynced: PersistEffect[]
  /** Messages that may only be sent once the unsynced writes are on disk. */
  sendsAfterSync: SendEffect[]
  /** State of the state machine: the applied values in order. */
  applied: string[]
  appliedIndex: number
  isPaused: boolean
  /** The replica's own clock, ms; it drifts, and stops while the replica is paused. */
  clock: number
}
