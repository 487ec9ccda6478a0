/** Status reports of processes, shown to operators. */
import type { Members, ReplicaId } from '../coordination/index.js'

/** One engine as a box sees it. */
export interface EngineStatus {
  readonly id: string
  readonly zone: string
  readonly pool: string
  readonly state: string
  readonly slow: boolean
  readonly quick: number
  readonly patient: number
  readonly places: number
  readonly owner: string
}

/** The status of an entry box. */
export interface BoxStatus {
  readonly id: string
  readonly zone: string
  readonly revision: number
  readonly ready: boolean
  readonly leaving: boolean
  readonly inFlight: number
  readonly queues: Readonly<Record<string, number>>
  readonly engines: readonly EngineStatus[]
  readonly violations: number
  readonly incarnation: string
  /** When the status was sent, ms since 1970 on the box's clock. */
  readonly sentAt: number
}

/** The status of a keeper, with the latest statuses that it received from entry boxes. */
export interface KeeperStatus {
  readonly id: string
  readonly zone: string
  readonly replica: ReplicaId
  readonly role: string
  readonly term: number
  readonly leader: ReplicaId | null
  readonly members: Members
  readonly commit: number
  readonly matches: Readonly<Record<string, number>>
  readonly revision: number
  readonly claims: number
  /** How many further keepers can fail without losing the quorum. */
  readonly spare: number
  readonly waiting: readonly ReplicaId[]
  readonly boxes: readonly BoxStatus[]
}
