import { performance } from 'node:perf_hooks'

/** What is waited for is looked at this often, ms. */
const pollMs = 20

/** Waits until something holds; resolves with false where it does not within `limitMs`. */
export async function waitUntil (test: () => boolean, limitMs: number): Promise<boolean> {
  const until = performance.now() + limitMs
  while (!test()) {
    if (performance.now() > until) return false
    await new Promise(resolve => setTimeout(resolve, pollMs))
  }
  return true
}
