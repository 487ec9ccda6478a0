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
  #sharers: readonly string[] = []

  constructor (now: () => number) {
    this.#now = now
  }

  /** The other boxes that share the limits; what any other box said is forgotten. */
  setSharers (boxes: readonly string[]): void {
    this.#sharers = boxes
    for (const box of this.#others.keys()) {
      if (!boxes.includes(box)) this.#others.delete(box)
    }
  }

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

  #findShare (name: WorkspaceName, limit: WorkspaceLimit): number {
    // Through a cut the last word stands, so that each side spends what it had.
    const others = this.#sharers.map(box => this.#others.get(box)?.get(name) ?? 0)
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
