/** A leader's replication progress for one member: what was sent, what is acknowledged, and when to resend. */

/** Initial resend timeout for unacknowledged entries, ms; allows for some round trips and a sync. */
const initialResendMs = 500
/** The timeout doubles with each unsuccessful resend up to this, ms: a large message may still be in transit and would arrive twice. */
const maxResendMs = 8000

export class MemberProgress {
  /** Index of the next entry to send. */
  next: number
  /** Highest acknowledged index. */
  match = 0
  /** The newest heartbeat round it has answered. */
  round = 0
  /** Time of its last reply, ms. */
  lastContactAt: number
  /** Index from which entries are sent again: the member has those before it, as far as is known. A new leader takes a member to have all. */
  #resendFrom: number
  #sentAt = -Infinity
  #sentRound = -1
  #resendMs = initialResendMs

  constructor (next: number, at: number) {
    this.next = next
    this.#resendFrom = next
    this.lastContactAt = at
  }

  /** True if the resend timeout has passed since the last send. */
  mayResend (at: number): boolean { return at - this.#sentAt > this.#resendMs }

  /** Resets `next` to the first entry that was sent and not acknowledged, if a resend is due. */
  retry (at: number): void {
    if (this.next <= this.#resendFrom || !this.mayResend(at)) return
    this.next = this.#resendFrom
    this.#backOff()
  }

  /** Records that `count` entries were sent. */
  noteEntries (count: number, at: number, round: number): void {
    if (count === 0) return
    this.next += count
    this.#noteSent(at, round)
  }

  /** Records that a snapshot was sent. */
  noteSnapshot (at: number, round: number): void {
    if (this.#sentAt > -Infinity) this.#backOff()
    this.#noteSent(at, round)
  }

  /** Records a reply to the given round. */
  noteReply (at: number, round: number): void {
    this.lastContactAt = at
    this.round = Math.max(this.round, round)
  }

  /** Records that the member has the log up to `match`. */
  noteMatch (match: number): void {
    if (match > this.match) this.#resendMs = initialResendMs
    this.match = Math.max(this.match, match)
    this.#resendFrom = Math.max(this.#resendFrom, this.match + 1)
    this.next = Math.max(this.next, this.match + 1)
  }

  /** Records a log mismatch: entries after `hint` are missing or differ. */
  noteMismatch (hint: number, round: number): void {
    if (hint + 1 < this.next) this.next = Math.max(this.match, hint) + 1
    this.#resendFrom = Math.min(this.#resendFrom, this.next)
    // Links preserve order, so a member that replies to a later round without acknowledging the last send has not received it.
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
