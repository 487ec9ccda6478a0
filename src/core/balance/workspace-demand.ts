/**
 * Arrival rates by workspace and kind of request: the meters of one box, and sums over boxes. The load that these
 * are for: three of twelve workspaces send six times their usual rate, through any boxes, to a service that can
 * serve 0.9 of all requests. Only the largest rates are listed by name, so that no report grows with the number of
 * workspaces.
 */
import type { WorkspaceName } from '../ids.js'
import { AdmissionCredits } from './admission-credits.js'
import { RateMeter } from './rate-meter.js'

/** Arrival rate of one kind of request of a workspace; the name is empty for requests without a key. */
export type WorkspaceRate = readonly [workspace: string, level: number, rate: number]

/** Total arrival rate of one kind over workspaces that are not listed; `count`: how many, at most. */
export type RestRate = readonly [level: number, rate: number, count: number]

/** The largest arrival rates, and the sums of the others by kind. Engines: in prompt tokens/s; plain services: in ms of answer time per second. */
export interface WorkspaceRates {
  readonly workspaces: readonly WorkspaceRate[]
  readonly workspaceRest: readonly RestRate[]
}

/** Number of rates that a box lists in its report, and a hub in its totals. */
export const maxReportedRates = 24
export const maxTotalRates = 64
/** Window of the meters, ms. */
const windowMs = 2000

interface WorkspaceMeter {
  readonly workspace: string
  readonly level: number
  readonly meter: RateMeter
  readonly credits: AdmissionCredits
}

/** The meters of one service on one box. */
export class WorkspaceDemand {
  #meters = new Map<string, WorkspaceMeter>()

  /** Records an arrival; `amount`: prompt tokens expected to be read, 1 for a plain call. */
  note (workspace: WorkspaceName | undefined, level: number, amount: number, at: number): void {
    const key = composeKey(workspace ?? '', level)
    const known = this.#meters.get(key) ?? { workspace: workspace ?? '', level, meter: new RateMeter(windowMs), credits: new AdmissionCredits() }
    this.#meters.set(key, known)
    known.meter.add(at, amount)
  }

  /** Arrival rates, amount/s. Drops the meters of workspaces without arrivals in the window. */
  measure (at: number): readonly WorkspaceRate[] {
    const measured: WorkspaceRate[] = []
    for (const [key, { workspace, level, meter }] of this.#meters) {
      const rate = meter.rate(at)
      if (rate > 0) measured.push([workspace, level, rate])
      else this.#meters.delete(key)
    }
    return measured
  }

  /** The credits by which requests of a workspace are admitted in proportion. */
  findCredits (workspace: WorkspaceName | undefined, level: number): AdmissionCredits {
    return this.#meters.get(composeKey(workspace ?? '', level))?.credits ?? new AdmissionCredits()
  }
}

/** A sum of rates over boxes. */
export class WorkspaceSum {
  #rates = new Map<string, WorkspaceRate>()
  #rest = new Map<number, RestRate>()

  add ({ workspaces = [], workspaceRest = [] }: Partial<WorkspaceRates>): this {
    for (const [workspace, level, rate] of workspaces) {
      const key = composeKey(workspace, level)
      this.#rates.set(key, [workspace, level, (this.#rates.get(key)?.[2] ?? 0) + rate])
    }
    for (const [level, rate, count] of workspaceRest) this.#addRest(level, rate, count)
    return this
  }

  /** Subtracts a box's own report; rates that a hub did not list are part of the rest. */
  subtract ({ workspaces = [], workspaceRest = [] }: Partial<WorkspaceRates>): this {
    for (const [workspace, level, rate] of workspaces) {
      const key = composeKey(workspace, level)
      const known = this.#rates.get(key)
      if (known === undefined) this.#addRest(level, -rate, -1)
      else if (known[2] > rate) this.#rates.set(key, [workspace, level, known[2] - rate])
      else this.#rates.delete(key)
    }
    for (const [level, rate, count] of workspaceRest) this.#addRest(level, -rate, -count)
    return this
  }

  /** The rate of one kind of a workspace, as far as it is listed. */
  find (workspace: string, level: number): number { return this.#rates.get(composeKey(workspace, level))?.[2] ?? 0 }

  /** The largest rates by name; the others are added to the rest. */
  list (limit = Infinity): WorkspaceRates {
    const ranked = [...this.#rates.values()].sort((a, b) => b[2] - a[2])
    const rest = new WorkspaceSum()
    for (const [level, rate, count] of this.#rest.values()) rest.#addRest(level, rate, count)
    for (const [, level, rate] of ranked.slice(limit)) rest.#addRest(level, rate, 1)
    return { workspaces: ranked.slice(0, limit), workspaceRest: [...rest.#rest.values()].filter(([, rate, count]) => rate > 0 && count > 0) }
  }

  #addRest (level: number, rate: number, count: number): void {
    const [, knownRate, knownCount] = this.#rest.get(level) ?? [level, 0, 0]
    this.#rest.set(level, [level, knownRate + rate, knownCount + count])
  }
}

/**
 * Rates below this fraction of the mean of their kind on the box are not listed: whoever asks for less than an equal share is never over
 * its share. A report of 24 equal workspaces and three loud ones would else take 530 bytes per service, sent up to 20 times a second.
 */
const listedMeanShare = 0.75

/** The rates that a box reports, in whole numbers: the largest by name if `isNamed`, the rest as a sum. `scale`: work of one unit of the meters. */
export function composeReport (demand: WorkspaceDemand, scale: number, isNamed: boolean, at: number): WorkspaceRates {
  const rates = demand.measure(at).map(([workspace, level, rate]): WorkspaceRate => [workspace, level, Math.round(rate * scale)])
  const report = new WorkspaceSum()
  for (const level of new Set(rates.map(one => one[1]))) {
    const kind = rates.filter(one => one[1] === level && one[2] > 0)
    const least = kind.reduce((sum, [,, rate]) => sum + rate, 0) / kind.length * listedMeanShare
    for (const one of kind) report.add(isNamed && one[2] >= least ? { workspaces: [one] } : { workspaceRest: [[level, one[2], 1]] })
  }
  return report.list(maxReportedRates)
}

function composeKey (workspace: string, level: number): string { return `${level} ${workspace}` }
