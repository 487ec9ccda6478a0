/** The limits of workspaces, as far as this box's share of them goes. */
import { WorkspaceLimit, divideLimit } from '../core/index.js'
import type { LimitAnswer, WorkspaceName } from '../core/index.js'
import type { Workspace } from '../config/index.js'

/** What boxes tell each other: the demand of workspaces that are active there. */
export type Demands = readonly (readonly [WorkspaceName, number])[]

const mostTold = 64
const leastDemand = 0.01

export class Limits {
  #now: () => number
  #limits = new Map<WorkspaceName, WorkspaceLimit>()
  #others = new Map<string, ReadonlyMap<WorkspaceName, number>>()
  #boxes = 1

  constructor (now: () => number) {
    this.#now = now
  }

  /** How many boxes share the limits. A cut keeps the last number. */
  set boxes (boxes: number) { this.#boxes = Math.max(1, boxes) }
  get boxes (): number { return this.#boxes }

  enter (workspace: Workspace, tokens: number): LimitAnswer {
    const limit = this.#open(workspace.name)
    limit.share = this.#findShare(workspace.name, limit)
    return limit.enter(this.#now(), workspace, tokens)
  }

  leave (workspace: WorkspaceName, tokens: number): void {
    this.#limits.get(workspace)?.leave(tokens)
  }

  /** The demand here, the largest first and a bounded number of them. */
  get demands (): Demands {
    const now = this.#now()
    const demands: (readonly [WorkspaceName, number])[] = []
    for (const [name, limit] of this.#limits) {
      const demand = limit.getDemand(now)
      if (demand >= leastDemand) demands.push([name, Math.round(demand * 1000) / 1000])
      else if (limit.streams === 0) this.#limits.delete(name)
    }
    return demands.sort((a, b) => b[1] - a[1]).slice(0, mostTold)
  }

  /** What another box said of its demand. */
  note (box: string, demands: Demands): void {
    this.#others.set(box, new Map(demands))
  }

  /** Forgets a box that has left. */
  forget (box: string): void {
    this.#others.delete(box)
  }

  #findShare (name: WorkspaceName, limit: WorkspaceLimit): number {
    const others: number[] = []
    // Through a cut the last word stands, so that each side spends what it had.
    for (const demands of this.#others.values()) others.push(demands.get(name) ?? 0)
    while (others.length < this.#boxes - 1) others.push(0)
    return divideLimit(limit.getDemand(this.#now()) + leastDemand, others)
  }

  #open (name: WorkspaceName): WorkspaceLimit {
    const known = this.#limits.get(name)
    if (known !== undefined) return known
    const made = new WorkspaceLimit()
    this.#limits.set(name, made)
    return made
  }
}
