/** What a leader knows of a member: what it was sent, what it acknowledged, and when it may be sent the same again. */

/** What a member did not acknowledge is sent again after this, ms: some round trips and a sync. */
const initialResendMs = 500
/** Each time in vain it takes twice as long, up to this, ms: what is large may still be on its way, and would then come twice. */
const maxResendMs = 8000

export class MemberProgress {
  /** Index of the entry that it is sent next. */
  next: number
  /** Index up to which it has acknowledged the log. */
  match = 0
  /** The newest round that it has answered. */
  round = 0
  /** When it was last heard from, ms. */
  lastContactAt: number
  #sentAt = -Infinity
  #sentRound = -1
  #resendMs = initialResendMs

  constructor (next: number, at: number) {
    this.next = next
    this.lastContactAt = at
  }

  /** True where nothing was sent lately, so that what is not acknowledged may be sent again. */
  mayResend (at: number): boolean { return at - this.#sentAt > this.#resendMs }

  /** Goes back to the first entry that is not acknowledged, if some were sent in vain. */
  retry (at: number): void {
    if (this.next <= this.match + 1 || !this.mayResend(at)) return
    this.next = this.match + 1
    this.#backOff()
  }

  /** Entries were sent. */
  noteEntries (count: number, at: number, round: number): void {
    if (count === 0) return
    this.next += count
    this.#noteSent(at, round)
  }

  /** A snapshot was sent. */
  noteSnapshot (at: number, round: number): void {
    if (this.#sentAt > -Infinity) this.#backOff()
    this.#noteSent(at, round)
  }

  /** It answered. */
  noteReply (at: number, round: number): void {
    this.lastContactAt = at
    this.round = Math.max(this.round, round)
  }

  /** It has the log up to `match`. */
  noteMatch (match: number): void {
    if (match > this.match) this.#resendMs = initialResendMs
    this.match = Math.max(this.match, match)
    this.next = Math.max(this.next, this.match + 1)
  }

  /** It lacks what comes after `hint`, or holds something else there. */
  noteMismatch (hint: number, round: number): void {
    if (hint + 1 < this.next) this.next = Math.max(this.match, hint) + 1
    // Links keep order: who answers what was sent later, without having acknowledged this, will not get it any more.
    if (round > this.#sentRound) this.#resendMs = initialResendMs
  }

  #noteSent (at: number, round: number): void {
    this.#sentAt = at
    this.#sentRound = round
  }

  #backOff (): void {
    this.#resendMs = Math.min(maxResendMs, this.#resendMs * 2)
  }
}
