/** Enforces this box's share of the workspaces' limits. */
import { WorkspaceLimit, divideLimit } from '../core/index.js'
import type { LimitDecision, WorkspaceName } from '../core/index.js'
import type { Workspace } from '../config/index.js'

/** Demand of the active workspaces on one box, requests per second; exchanged between boxes. */
export type Demands = readonly (readonly [WorkspaceName, number])[]

const maxReportedDemands = 64
const minDemand = 0.01

export class Limits {
  #now: () => number
  #limits = new Map<WorkspaceName, WorkspaceLimit>()
  #demandsByBox = new Map<string, ReadonlyMap<WorkspaceName, number>>()
  #sharers: readonly string[] = []

  constructor (now: () => number) {
    this.#now = now
  }

  /** Sets the other boxes that share the limits, and discards the demands of all others. */
  setSharers (boxes: readonly string[]): void {
    this.#sharers = boxes
    for (const box of this.#demandsByBox.keys()) {
      if (!boxes.includes(box)) this.#demandsByBox.delete(box)
    }
  }

  admit (workspace: Workspace, tokens: number): LimitDecision {
    const limit = this.#getOrCreate(workspace.name)
    limit.share = this.#findShare(workspace.name, limit)
    return limit.admit(this.#now(), workspace, tokens)
  }

  release (workspace: WorkspaceName, tokens: number): void {
    this.#limits.get(workspace)?.release(tokens)
  }

  /** The largest demands on this box in descending order, at most `maxReportedDemands`. Drops the state of idle workspaces. */
  get demands (): Demands {
    const now = this.#now()
    const demands: (readonly [WorkspaceName, number])[] = []
    for (const [name, limit] of this.#limits) {
      const demand = limit.getDemand(now)
      if (demand >= minDemand) demands.push([name, Math.round(demand * 1000) / 1000])
      else if (limit.streams === 0) this.#limits.delete(name)
    }
    return demands.sort((a, b) => b[1] - a[1]).slice(0, maxReportedDemands)
  }

  /** Records the demands reported by another box. */
  setDemands (box: string, demands: Demands): void {
    this.#demandsByBox.set(box, new Map(demands))
  }

  #findShare (name: WorkspaceName, limit: WorkspaceLimit): number {
    // During a network partition the last reports stay in effect, so that each side keeps its last share.
    const others = this.#sharers.map(box => this.#demandsByBox.get(box)?.get(name) ?? 0)
    return divideLimit(limit.getDemand(this.#now()) + minDemand, others)
  }

  #getOrCreate (name: WorkspaceName): WorkspaceLimit {
    const existing = this.#limits.get(name)
    if (existing !== undefined) return existing
    const created = new WorkspaceLimit()
    this.#limits.set(name, created)
    return created
  }
}
