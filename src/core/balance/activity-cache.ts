/** What a box has received from an endpoint lately; `unknown` if nothing was due. */
export type ActivitySign = 'answering' | 'silent' | 'unknown'

/** The sign of one endpoint, measured once for all requests that are checked at a time. */
export class ActivityCache {
  #at = -Infinity
  #sign: ActivitySign = 'unknown'

  find (at: number, isAnswering: () => boolean, isDue: () => boolean): ActivitySign {
    if (at === this.#at) return this.#sign
    this.#at = at
    this.#sign = 'unknown'
    if (isAnswering()) this.#sign = 'answering'
    else if (isDue()) this.#sign = 'silent'
    return this.#sign
  }
}
