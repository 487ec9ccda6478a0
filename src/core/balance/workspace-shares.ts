/**
 * Divides the capacity of a service among its workspaces by max-min fairness, within each kind of request. The load
 * that it answers: twelve workspaces, three of them at six times their usual rate, together 1.1 times the capacity;
 * the nine others must be served as usual, whichever boxes the three use, and the three get what is left.
 */
import { divideCapacity } from './capacity-division.js'
import type { KindRates } from './box-load.js'
import { WorkspaceSum } from './workspace-demand.js'
import type { WorkspaceRates } from './workspace-demand.js'

/** A workspace's share of a kind's capacity, and the inputs of the decision. Rates in the units of `WorkspaceRates`. */
export interface WorkspaceShare {
  /** The most that each workspace of the kind is given; Infinity while the capacity covers all. */
  readonly share: number
  /** Arrival rate of the workspace's requests of the kind, over all boxes. */
  readonly use: number
  /** What the kind's workspaces divide. */
  readonly room: number
  /** Age of the totals of other boxes, ms; null if this box divides its own part. */
  readonly ageMs: number | null
  /** Fraction of the workspace's requests that its share covers, from 0 to 1. */
  readonly fraction: number
  /** Slots of a plain service that are believed to be free; absent for engines. */
  readonly free?: number
}

/** Inputs of a division. */
export interface ShareInput {
  /** Rates of this box, and of the others; null if those are unknown. */
  readonly own: Partial<WorkspaceRates>
  readonly others: Partial<WorkspaceRates> | null
  /** What the boxes of these rates can use, and what of it is divided. */
  readonly capacity: number
  readonly planned: number
  /** True if endpoints recently refused requests as full. */
  readonly isFull: boolean
  readonly ageMs: number | null
}

/** Shares apply from this demand on, as a fraction of the capacity, or while endpoints refuse requests as full. */
const minDemandShare = 0.9
/** Boxes report rates by workspace from this demand on, so that all know them when shares begin to apply. */
export const reportingDemandShare = 0.6
/**
 * Capacity that is assumed while endpoints are full below the demand at which shares apply, as a fraction of the demand: rates
 * are measured over 2 s, so a burst fills the endpoints before it shows in full.
 */
const fullDemandShare = 0.95
/** Meanwhile, only workspaces whose rate exceeds an equal share by this factor are limited: small differences are chance. */
const minExcessRatio = 2
/** How long a division is reused, ms: totals arrive no more often on the sites concerned. */
const divisionTtlMs = 50
/** Bounds on the delay after which a refused request should be retried, ms. */
const minRetryAfterMs = 300
const maxRetryAfterMs = 5000

/** The shares of a service's workspaces at one time. */
export class ShareDivision {
  #sum: WorkspaceSum
  #ageMs: number | null
  #kinds = new Map<number, { readonly room: number, readonly share: number }>()
  /** Arrival rate over all kinds and workspaces. */
  readonly demand: number
  readonly capacity: number
  /** True if shares apply. */
  readonly isOn: boolean

  constructor ({ own, others, capacity, planned, isFull, ageMs }: ShareInput) {
    this.#sum = new WorkspaceSum().add(own).add(others ?? {})
    this.#ageMs = ageMs
    this.capacity = capacity
    const { workspaces, workspaceRest } = this.#sum.list()
    const groups = [...workspaces.map(([, level, rate]) => ({ level, rate, count: 1 })), ...workspaceRest.map(([level, rate, count]) => ({ level, rate, count }))]
    this.demand = groups.reduce((sum, { rate }) => sum + rate, 0)
    const isShort = this.demand >= capacity * minDemandShare
    this.isOn = this.demand > 0 && (isShort || isFull)
    if (!this.isOn) return
    const fractions = divideCapacity(isShort ? planned : this.demand * fullDemandShare, sumByKind(groups), Math.max(...groups.map(({ level }) => level)))
    for (const level of new Set(groups.map(group => group.level))) {
      const kind = groups.filter(group => group.level === level)
      const rate = kind.reduce((sum, group) => sum + group.rate, 0)
      const room = rate * (fractions.get(level) ?? 1)
      // Several boxes count the same workspace in the rest, so those that this box meters are a better estimate of how many there are.
      const listed = workspaces.filter(one => one[1] === level).length
      const metered = own.workspaces?.filter(one => one[1] === level).length ?? 0
      const equal = rate / Math.max(1, listed, metered)
      const fair = findFairRate(room, kind)
      this.#kinds.set(level, { room, share: isShort ? fair : Math.max(fair, equal * minExcessRatio) })
    }
  }

  /** The share of a workspace; null while shares do not apply. */
  find (workspace: string | undefined, level: number): WorkspaceShare | null {
    const kind = this.#kinds.get(level)
    if (kind === undefined) return null
    const use = this.#sum.find(workspace ?? '', level)
    return { ...kind, use, ageMs: this.#ageMs, fraction: use <= kind.share ? 1 : kind.share / use }
  }
}

/** The division in force, reused for a short time: a new one for each request would cost more than the decision. */
export class ShareMemo {
  #division: ShareDivision | null = null
  #at = -Infinity

  reuse (at: number, divide: () => ShareDivision): ShareDivision {
    if (this.#division !== null && at - this.#at < divisionTtlMs) return this.#division
    this.#at = at
    this.#division = divide()
    return this.#division
  }
}

/** The largest rate per workspace with which all together stay within `capacity`; Infinity if it covers all. `rate`: total of a group of `count` workspaces. */
export function findFairRate (capacity: number, groups: readonly { readonly rate: number, readonly count: number }[]): number {
  const ranked = groups.filter(({ count }) => count > 0).sort((a, b) => a.rate / a.count - b.rate / b.count)
  let left = capacity
  let count = ranked.reduce((sum, group) => sum + group.count, 0)
  for (const group of ranked) {
    // Rates are sums of measurements: a difference in the last digits must not put all workspaces over their share.
    if (group.rate / group.count * count > left * (1 + 1e-9)) return left / count
    left -= group.rate
    count -= group.count
  }
  return Infinity
}

/** When a request that was refused for its workspace's share should be retried, ms: the longer, the further the workspace is over its share. */
export function computeShareRetryMs (fraction: number): number {
  return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, (1 / Math.max(0.01, fraction) - 1) * 1000))
}

function sumByKind (groups: readonly { readonly level: number, readonly rate: number }[]): KindRates {
  const rates = new Map<number, number>()
  for (const { level, rate } of groups) rates.set(level, (rates.get(level) ?? 0) + rate)
  return [...rates]
}
