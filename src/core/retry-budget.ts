/**
 * Bounds retries to a share of what succeeds, so that a pool that is half dead
 * is not flooded by them. An answer that has begun is resumed without asking
 * the budget: its work is done already, and each request has few attempts.
 */
const largest = 50
const perSuccess = 0.1
const perTry = 1

export class RetryBudget {
  #tokens = largest

  /** Every request that was answered well earns a part of a retry. */
  noteSuccess (): void {
    this.#tokens = Math.min(largest, this.#tokens + perSuccess)
  }

  /** Takes one retry from the budget; false where there is none left. */
  take (): boolean {
    if (this.#tokens < perTry) return false
    this.#tokens -= perTry
    return true
  }
}
