/** Runs of every user, scenario, policy and seed that is asked for, as rows. */
import { createFifoPolicy, createLeastReportedLoadPolicy, createPowerOfTwoPolicy, createRandomPolicy, createRoundRobinPolicy } from './direct-policies.js'
import type { PolicyFactory } from './policy.js'
import { longBurst, scenarios } from './scenario.js'
import type { Scenario } from './scenario.js'
import { createShardPolicy } from './shard-policy.js'
import { Simulation } from './simulation.js'
import { userProfiles } from './user-profile.js'
import type { UserProfile } from './user-profile.js'

/** One row of results. */
export interface Row {
  readonly user: string
  readonly scenario: string
  readonly policy: string
  readonly seed: number
  readonly class: string
  readonly offered: number
  readonly finished: number
  /** Share of the offered that met its targets. */
  readonly attainment: number
  /** Requests finished within target, a second. */
  readonly goodput: number
  /** Share of all engine effort of the run that this class wasted. */
  readonly wasted: number
  readonly worstWaitMs: number
  readonly shed: number
  readonly left: number
  readonly failed: number
  /** Streams paused in the whole run. */
  readonly preempted: number
  readonly violations: number
  readonly unfinished: number
}

const defaultEnginesPerShard = 32

/** The product's policy is `wrenlane`; the others are to compare with. */
export const policies: Readonly<Record<string, PolicyFactory>> = {
  wrenlane: createShardPolicy({ mode: 'owned', maxEnginesPerShard: defaultEnginesPerShard, floorPlaces: null }),
  'round-robin': createRoundRobinPolicy,
  random: createRandomPolicy,
  'least-reported': createLeastReportedLoadPolicy,
  fifo: createFifoPolicy
}

/** Ways for several boxes to share a pool, weighed against each other. */
export const sharings: Readonly<Record<string, PolicyFactory>> = {
  'owned-32': createShardPolicy({ mode: 'owned', maxEnginesPerShard: 32, floorPlaces: null }),
  'owned-8': createShardPolicy({ mode: 'owned', maxEnginesPerShard: 8, floorPlaces: null }),
  alone: createShardPolicy({ mode: 'alone', maxEnginesPerShard: defaultEnginesPerShard, floorPlaces: null }),
  credits: createShardPolicy({ mode: 'credits', maxEnginesPerShard: defaultEnginesPerShard, floorPlaces: null }),
  'power-of-two': createPowerOfTwoPolicy,
  'no-floor': createShardPolicy({ mode: 'owned', maxEnginesPerShard: defaultEnginesPerShard, floorPlaces: 0 })
}

/** What to run; a list left out means all. */
export interface ExperimentChoice {
  readonly users?: readonly string[]
  readonly scenarios?: readonly string[]
  readonly policies: readonly string[]
  readonly seeds: readonly number[]
}

/** Finds a scenario by name; undefined for none. */
export function findScenario (name: string): Scenario | undefined {
  return [...scenarios, longBurst].find(one => one.name === name)
}

/** Runs one combination. */
export function runOnce (user: UserProfile, scenario: Scenario, policy: string, seed: number): Row[] {
  const createPolicy = policies[policy] ?? sharings[policy]
  const result = new Simulation(user, scenario, createPolicy, seed).run()
  const { figures } = result.tally
  const effort = figures.reduce((sum, one) => sum + one.effort, 0)
  return figures.map(one => ({
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

/** Runs everything chosen, giving each row as it comes. */
export function runExperiment (choice: ExperimentChoice, handleRow: (row: Row) => void): void {
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

/** Share of submissions that crossed between boxes on an ordinary day, with a shard for about each box. */
export function measureRemoteShare (): number {
  const [user] = userProfiles
  const scenario = findScenario('ordinary') as Scenario
  const { submitted } = new Simulation(user, scenario, sharings['owned-8'], 1).run()
  return submitted.remote / (submitted.remote + submitted.local)
}
