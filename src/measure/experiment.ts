/** Simulates the chosen combinations of user, scenario, policy and seed; each gives one result row per class. */
import { createFifoPolicy, createLeastReportedLoadPolicy, createPowerOfTwoPolicy, createRandomPolicy, createRoundRobinPolicy } from './direct-policies.js'
import type { PolicyFactory } from './policy.js'
import { longBurst, scenarios } from './scenario.js'
import type { Scenario } from './scenario.js'
import { createShardPolicy } from './shard-policy.js'
import { Simulation } from './simulation.js'
import { userProfiles } from './user-profile.js'
import type { UserProfile } from './user-profile.js'

/** Results of one class in one run. */
export interface ResultRow {
  readonly user: string
  readonly scenario: string
  readonly policy: string
  readonly seed: number
  readonly class: string
  readonly offered: number
  readonly finished: number
  /** Share of the offered requests that met their latency targets. */
  readonly attainment: number
  /** Requests a second that finished within their targets. */
  readonly goodput: number
  /** Engine effort that this class wasted, as a share of all engine effort of the run. */
  readonly wasted: number
  readonly worstWaitMs: number
  readonly shed: number
  readonly left: number
  readonly failed: number
  /** Streams preempted in the whole run, over all classes. */
  readonly preempted: number
  readonly violations: number
  readonly unfinished: number
}

const defaultEnginesPerShard = 32

/** Policies by name. `wrenlane` is the production policy, the others are baselines. */
export const policies: Readonly<Record<string, PolicyFactory>> = {
  wrenlane: createShardPolicy({ mode: 'owned', maxEnginesPerShard: defaultEnginesPerShard, floorPlaces: null }),
  'round-robin': createRoundRobinPolicy,
  random: createRandomPolicy,
  'least-reported': createLeastReportedLoadPolicy,
  fifo: createFifoPolicy
}

/** Variants of how several boxes share a pool of engines, by name. */
export const sharingPolicies: Readonly<Record<string, PolicyFactory>> = {
  'owned-32': createShardPolicy({ mode: 'owned', maxEnginesPerShard: 32, floorPlaces: null }),
  'owned-8': createShardPolicy({ mode: 'owned', maxEnginesPerShard: 8, floorPlaces: null }),
  alone: createShardPolicy({ mode: 'alone', maxEnginesPerShard: defaultEnginesPerShard, floorPlaces: null }),
  credits: createShardPolicy({ mode: 'credits', maxEnginesPerShard: defaultEnginesPerShard, floorPlaces: null }),
  'power-of-two': createPowerOfTwoPolicy,
  'no-floor': createShardPolicy({ mode: 'owned', maxEnginesPerShard: defaultEnginesPerShard, floorPlaces: 0 })
}

/** What to run; an omitted list means all. */
export interface ExperimentChoice {
  readonly users?: readonly string[]
  readonly scenarios?: readonly string[]
  readonly policies: readonly string[]
  readonly seeds: readonly number[]
}

/** Finds a scenario by name; undefined where there is none. */
export function findScenario (name: string): Scenario | undefined {
  return [...scenarios, longBurst].find(one => one.name === name)
}

/** Runs one combination. Throws for an unknown policy name. */
export function runOnce (user: UserProfile, scenario: Scenario, policy: string, seed: number): ResultRow[] {
  const createPolicy = policies[policy] ?? sharingPolicies[policy]
  const result = new Simulation(user, scenario, createPolicy, seed).run()
  const { counters } = result.tally
  const effort = counters.reduce((sum, one) => sum + one.effort, 0)
  return counters.map(one => ({
    user: user.name,
    scenario: scenario.name,
    policy,
    seed,
    class: one.class,
    offered: one.offered,
    finished: one.finished,
    attainment: roundTo4Decimals(one.metTargets / Math.max(1, one.offered)),
    goodput: roundTo4Decimals(one.metTargets * 1000 / scenario.durationMs),
    wasted: roundTo4Decimals(one.wasted / Math.max(1, effort)),
    worstWaitMs: Math.round(one.worstWaitMs),
    shed: one.refused,
    left: one.left,
    failed: one.failed,
    preempted: result.preempted,
    violations: result.violations.length,
    unfinished: result.unfinished
  }))
}

/** Runs all chosen combinations and passes on each row as soon as its run ends. Unknown scenario names are skipped. */
export function runExperiment (choice: ExperimentChoice, handleRow: (row: ResultRow) => void): void {
  const names = choice.scenarios ?? scenarios.map(one => one.name)
  for (const user of userProfiles) {
    if (choice.users !== undefined && !choice.users.includes(user.name)) continue
    for (const name of names) {
      const scenario = findScenario(name)
      if (scenario === undefined) continue
      for (const seed of choice.seeds) {
        for (const policy of choice.policies) runOnce(user, scenario, policy, seed).forEach(handleRow)
      }
    }
  }
}

function roundTo4Decimals (value: number): number {
  return Math.round(value * 10_000) / 10_000
}

/** Share of submissions that were sent to another box in the `ordinary` scenario, with about one shard per box. */
export function measureRemoteShare (): number {
  const [user] = userProfiles
  const scenario = findScenario('ordinary') as Scenario
  const { submitted } = new Simulation(user, scenario, sharingPolicies['owned-8'], 1).run()
  return submitted.remote / (submitted.remote + submitted.local)
}
