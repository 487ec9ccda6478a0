import { computeCapacity } from './user-profile.js'
import type { UserProfile } from './user-profile.js'

/** Load and faults of one run. Times in ms from its start. */
export interface Scenario {
  readonly name: string
  readonly durationMs: number
  /** Raises the demand of the bursting class to a multiple of the capacity of all engines. */
  readonly burst: { readonly capacityMultiple: number, readonly fromMs: number, readonly untilMs: number } | null
  readonly slowdown: { readonly share: number, readonly factor: number, readonly fromMs: number } | null
  /** Every `everyMs`, a random share of the engines crashes and recovers after `downMs`. */
  readonly crashes: { readonly share: number, readonly everyMs: number, readonly downMs: number } | null
  /** A random share of the engines crashes at `fromMs` and doesn't recover. */
  readonly permanentCrash: { readonly share: number, readonly fromMs: number } | null
  readonly reportLagMs: number
  readonly partition: { readonly zone: number, readonly fromMs: number, readonly untilMs: number } | null
  readonly boxFailure: { readonly box: number, readonly atMs: number } | null
  /** Share of requests that come from the two largest workspaces. */
  readonly largeWorkspaceShare: number
}

const secondMs = 1000
const ordinary: Scenario = {
  name: 'ordinary',
  durationMs: 90 * secondMs,
  burst: null,
  slowdown: null,
  crashes: null,
  permanentCrash: null,
  reportLagMs: secondMs,
  partition: null,
  boxFailure: null,
  largeWorkspaceShare: 0.4
}

const createBurst = (capacityMultiple: number) => ({ capacityMultiple, fromMs: 20 * secondMs, untilMs: 65 * secondMs })

/** The scenarios of a full experiment. */
export const scenarios: readonly Scenario[] = [
  ordinary,
  { ...ordinary, name: 'burst-1.5', burst: createBurst(1.5) },
  { ...ordinary, name: 'burst-3', burst: createBurst(3) },
  { ...ordinary, name: 'burst-10', durationMs: 60 * secondMs, burst: { capacityMultiple: 10, fromMs: 20 * secondMs, untilMs: 35 * secondMs } },
  { ...ordinary, name: 'slow-engines', slowdown: { share: 0.2, factor: 4, fromMs: 20 * secondMs } },
  { ...ordinary, name: 'crashes', crashes: { share: 0.1, everyMs: 15 * secondMs, downMs: 8 * secondMs } },
  { ...ordinary, name: 'half-dead', permanentCrash: { share: 0.5, fromMs: 20 * secondMs } },
  { ...ordinary, name: 'lagging-reports', reportLagMs: 5 * secondMs, burst: createBurst(0.6) },
  { ...ordinary, name: 'zone-cut', partition: { zone: 0, fromMs: 20 * secondMs, untilMs: 60 * secondMs }, burst: createBurst(0.5) },
  { ...ordinary, name: 'box-lost', boxFailure: { box: 1, atMs: 30 * secondMs }, burst: createBurst(0.5) },
  { ...ordinary, name: 'large-workspaces', largeWorkspaceShare: 0.9, burst: createBurst(1.5) },
  {
    ...ordinary,
    name: 'all-together',
    burst: createBurst(1.5),
    slowdown: { share: 0.1, factor: 4, fromMs: 10 * secondMs },
    crashes: { share: 0.05, everyMs: 15 * secondMs, downMs: 8 * secondMs },
    reportLagMs: 3 * secondMs,
    partition: { zone: 0, fromMs: 30 * secondMs, untilMs: 50 * secondMs },
    largeWorkspaceShare: 0.8
  }
]

/** Demand at three times the capacity for an hour. Not part of `scenarios`, as it runs much longer. */
export const longBurst: Scenario = {
  ...ordinary,
  name: 'long-burst',
  durationMs: 3800 * secondMs,
  burst: { capacityMultiple: 3, fromMs: 60 * secondMs, untilMs: 3660 * secondMs }
}

/** Factor by which the ordinary rate of the bursting class is multiplied in a burst; at least 1. */
export function computeBurstFactor (user: UserProfile, capacityMultiple: number): number {
  const traffic = user.traffic.find(one => one.class.name === user.burstingClass)
  if (traffic === undefined) return 1
  return Math.max(1, capacityMultiple * computeCapacity(user) / (traffic.tokens * traffic.rate))
}
