import { performance } from 'node:perf_hooks'

/** Interval at which the condition is checked, ms. */
const pollIntervalMs = 20

/** Polls `condition` until it is true; resolves with false on a time-out. */
export async function waitUntil (condition: () => boolean, timeoutMs: number): Promise<boolean> {
  const deadline = performance.now() + timeoutMs
  while (!condition()) {
    if (performance.now() > deadline) return false
    await new Promise(resolve => setTimeout(resolve, pollIntervalMs))
  }
  return true
}
