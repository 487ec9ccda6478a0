import { computeCapacity } from './user-profile.js'
import type { UserProfile } from './user-profile.js'

/** What befalls a deployment in a run. Times in ms from its start. */
export interface Scenario {
  readonly name: string
  readonly durationMs: number
  /** The bursting class's demand as a multiple of all engines' capacity. */
  readonly burst: { readonly times: number, readonly fromMs: number, readonly untilMs: number } | null
  readonly slow: { readonly share: number, readonly factor: number, readonly fromMs: number } | null
  /** Engines that crash, and come back after a while. */
  readonly crashes: { readonly share: number, readonly everyMs: number, readonly downMs: number } | null
  /** A share of the engines that is dead from a moment on. */
  readonly dead: { readonly share: number, readonly fromMs: number } | null
  readonly reportLagMs: number
  readonly cut: { readonly zone: number, readonly fromMs: number, readonly untilMs: number } | null
  readonly boxLost: { readonly box: number, readonly atMs: number } | null
  /** The share of requests that come from two large workspaces. */
  readonly largeShare: number
}

const second = 1000
const calm: Scenario = {
  name: 'ordinary',
  durationMs: 90 * second,
  burst: null,
  slow: null,
  crashes: null,
  dead: null,
  reportLagMs: second,
  cut: null,
  boxLost: null,
  largeShare: 0.4
}

const burst = (times: number) => ({ times, fromMs: 20 * second, untilMs: 65 * second })

/** Every scenario by its name. */
export const scenarios: readonly Scenario[] = [
  calm,
  { ...calm, name: 'burst-1.5', burst: burst(1.5) },
  { ...calm, name: 'burst-3', burst: burst(3) },
  { ...calm, name: 'burst-10', durationMs: 60 * second, burst: { times: 10, fromMs: 20 * second, untilMs: 35 * second } },
  { ...calm, name: 'slow-engines', slow: { share: 0.2, factor: 4, fromMs: 20 * second } },
  { ...calm, name: 'crashes', crashes: { share: 0.1, everyMs: 15 * second, downMs: 8 * second } },
  { ...calm, name: 'half-dead', dead: { share: 0.5, fromMs: 20 * second } },
  { ...calm, name: 'lagging-reports', reportLagMs: 5 * second, burst: burst(0.6) },
  { ...calm, name: 'zone-cut', cut: { zone: 0, fromMs: 20 * second, untilMs: 60 * second }, burst: burst(0.5) },
  { ...calm, name: 'box-lost', boxLost: { box: 1, atMs: 30 * second }, burst: burst(0.5) },
  { ...calm, name: 'large-workspaces', largeShare: 0.9, burst: burst(1.5) },
  {
    ...calm,
    name: 'all-together',
    burst: burst(1.5),
    slow: { share: 0.1, factor: 4, fromMs: 10 * second },
    crashes: { share: 0.05, everyMs: 15 * second, downMs: 8 * second },
    reportLagMs: 3 * second,
    cut: { zone: 0, fromMs: 30 * second, untilMs: 50 * second },
    largeShare: 0.8
  }
]

/** The long burst: three times capacity for an hour. */
export const longBurst: Scenario = {
  ...calm,
  name: 'long-burst',
  durationMs: 3800 * second,
  burst: { times: 3, fromMs: 60 * second, untilMs: 3660 * second }
}

/** How often the bursting class's ordinary rate is multiplied. */
export function computeBurstFactor (user: UserProfile, times: number): number {
  const traffic = user.traffic.find(one => one.class.name === user.burst)
  if (traffic === undefined) return 1
  return Math.max(1, times * computeCapacity(user) / (traffic.tokens * traffic.rate))
}
