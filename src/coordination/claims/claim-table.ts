/**
 * Idempotency claims for calls that must not run twice, as a state machine on
 * the replicated log. Time is taken from the log entry, so every replica expires
 * the same claims at the same entry.
 */
import type { AttemptId, ClaimCommand, ClaimKey, ClaimResult, ClaimState, StoredAnswer } from './claim-types.js'

/** Retention and size limits. */
export interface ClaimBounds {
  /** How long a finished claim and its stored answer are retained, ms. */
  readonly retentionMs: number
  /** Total size of the stored answer bodies; beyond it the oldest bodies are evicted. */
  readonly maxTotalAnswerBytes: number
  /** Size of one answer body; a larger one is not stored. */
  readonly maxAnswerBytes: number
}

interface ClaimRecord {
  readonly digest: string
  state: ClaimState
  changedAt: number
}

interface Tombstone {
  readonly withdrawnAt: number
}

/** The table as stored in a snapshot. */
export interface ClaimTableState {
  readonly claims: readonly (readonly [string, string, ClaimState, number])[]
  readonly withdrawn: readonly (readonly [string, number])[]
}

const emptyClaimTable: ClaimTableState = { claims: [], withdrawn: [] }

export class ClaimTable {
  #bounds: ClaimBounds
  #claims = new Map<string, ClaimRecord>()
  #tombstones = new Map<AttemptId, Tombstone>()
  /** Names of the claims with a stored answer, oldest first. */
  #namesWithAnswer = new Set<string>()
  #answerBytes = 0

  constructor (bounds: ClaimBounds, state: ClaimTableState = emptyClaimTable) {
    this.#bounds = bounds
    for (const [name, digest, claim, changedAt] of state.claims) this.#put(name, { digest, state: claim, changedAt })
    for (const [attempt, withdrawnAt] of state.withdrawn) this.#tombstones.set(attempt, { withdrawnAt })
  }

  get size (): number { return this.#claims.size }
  get answerBytes (): number { return this.#answerBytes }

  /** Applies one command at the log entry's time `now`. */
  apply (command: ClaimCommand, now: number): ClaimResult {
    this.#expire(now)
    switch (command.type) {
      case 'claim': return this.#claim(command.key, command.digest, command.attempt, command.ttlMs, now)
      case 'withdraw': return this.#withdraw(command.key, command.attempt, now)
      case 'settle': return this.#settle(command.key, command.attempt, command.answer, now)
    }
  }

  /** Returns the state to store in a snapshot. */
  save (): ClaimTableState {
    return {
      claims: [...this.#claims].map(([name, record]) => [name, record.digest, record.state, record.changedAt]),
      withdrawn: [...this.#tombstones].map(([attempt, tombstone]) => [attempt, tombstone.withdrawnAt])
    }
  }

  #claim (key: ClaimKey, digest: string, attempt: AttemptId, ttlMs: number, now: number): ClaimResult {
    if (this.#tombstones.has(attempt)) return { type: 'withdrawn' }
    const name = formatKey(key)
    const existing = this.#claims.get(name)
    if (existing === undefined) {
      this.#put(name, { digest, state: { type: 'claimed', attempt, until: now + ttlMs }, changedAt: now })
      return { type: 'granted' }
    }
    if (existing.digest !== digest) return { type: 'other-body' }
    return this.#claimExisting(name, existing, attempt, now)
  }

  #claimExisting (name: string, existing: ClaimRecord, attempt: AttemptId, now: number): ClaimResult {
    const { state } = existing
    switch (state.type) {
      case 'answered': return state
      case 'answer-dropped': return state
      case 'unknown': return state
      case 'claimed':
        if (now >= state.until) {
          this.#put(name, { digest: existing.digest, state: { type: 'unknown' }, changedAt: now })
          return { type: 'unknown' }
        }
        // The same attempt retries because the reply to its first claim was lost.
        if (state.attempt === attempt) return { type: 'granted' }
        return { type: 'in-progress', untilMs: state.until - now }
    }
  }

  #withdraw (key: ClaimKey, attempt: AttemptId, now: number): ClaimResult {
    this.#tombstones.set(attempt, { withdrawnAt: now })
    const name = formatKey(key)
    const existing = this.#claims.get(name)
    if (existing?.state.type === 'claimed' && existing.state.attempt === attempt) this.#remove(name)
    return { type: 'withdrawn' }
  }

  #settle (key: ClaimKey, attempt: AttemptId, answer: StoredAnswer | null, now: number): ClaimResult {
    const name = formatKey(key)
    const existing = this.#claims.get(name)
    if (existing === undefined || existing.state.type !== 'claimed' || existing.state.attempt !== attempt) return { type: 'unknown' }
    this.#put(name, { digest: existing.digest, state: this.#composeSettledState(answer), changedAt: now })
    this.#evictOldAnswers()
    return { type: 'settled' }
  }

  #composeSettledState (answer: StoredAnswer | null): ClaimState {
    if (answer === null) return { type: 'unknown' }
    if (answer.body.length > this.#bounds.maxAnswerBytes) return { type: 'answer-dropped' }
    return { type: 'answered', answer }
  }

  // Both maps are ordered by the time of the last change, so the loops can stop at the first record that is not expired.
  #expire (now: number): void {
    for (const [name, record] of this.#claims) {
      if (now - record.changedAt <= this.#bounds.retentionMs) break
      if (record.state.type === 'claimed' && now < record.state.until) break
      this.#remove(name)
    }
    for (const [attempt, tombstone] of this.#tombstones) {
      if (now - tombstone.withdrawnAt <= this.#bounds.retentionMs) break
      this.#tombstones.delete(attempt)
    }
  }

  #evictOldAnswers (): void {
    for (const name of this.#namesWithAnswer) {
      if (this.#answerBytes <= this.#bounds.maxTotalAnswerBytes) return
      const record = this.#claims.get(name)
      if (record === undefined) continue
      this.#answerBytes -= countAnswerBytes(record.state)
      record.state = { type: 'answer-dropped' }
      this.#namesWithAnswer.delete(name)
    }
  }

  #put (name: string, record: ClaimRecord): void {
    this.#remove(name)
    this.#claims.set(name, record)
    this.#answerBytes += countAnswerBytes(record.state)
    if (record.state.type === 'answered') this.#namesWithAnswer.add(name)
  }

  #remove (name: string): void {
    const record = this.#claims.get(name)
    if (record === undefined) return
    this.#answerBytes -= countAnswerBytes(record.state)
    this.#claims.delete(name)
    this.#namesWithAnswer.delete(name)
  }
}

function formatKey (key: ClaimKey): string {
  return JSON.stringify([key.workspace, key.service, key.key])
}

function countAnswerBytes (state: ClaimState): number {
  return state.type === 'answered' ? state.answer.body.length : 0
}
