/**
 * Limits retries to a fraction of the successes, so that retries do not overload
 * a pool in which many engines have failed. Outside the budget, responses that
 * have begun are resumed, as the work is already done, and requests that did not
 * reach an engine are sent to another, as they cost none any time.
 */
const maxTokens = 50
const tokensPerSuccess = 0.1
const tokensPerRetry = 1

export class RetryBudget {
  #tokens = maxTokens

  /** Adds a fraction of a retry to the budget. */
  noteSuccess (): void {
    this.#tokens = Math.min(maxTokens, this.#tokens + tokensPerSuccess)
  }

  /** Takes one retry from the budget; false if it is used up. */
  take (): boolean {
    if (this.#tokens < tokensPerRetry) return false
    this.#tokens -= tokensPerRetry
    return true
  }

  /** Returns a retry that was taken but not sent to an engine. */
  putBack (): void {
    this.#tokens = Math.min(maxTokens, this.#tokens + tokensPerRetry)
  }
}
