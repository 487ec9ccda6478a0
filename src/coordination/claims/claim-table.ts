/**
 * The claims of calls that may not be repeated, as a state machine of the
 * replicated log. Time is the entry's agreed time, so every replica expires the
 * same claims at the same entry.
 */
import type { AttemptId, ClaimCommand, ClaimKey, ClaimResult, ClaimState, StoredAnswer } from './claim-types.js'

/** Bounds on what is kept. */
export interface ClaimBounds {
  /** How long a finished claim and its answer are kept, ms. */
  readonly keepMs: number
  /** Bytes of stored answers; beyond it the oldest lose their bodies. */
  readonly answerBytes: number
  /** Bytes of one answer; a larger one is not kept. */
  readonly oneAnswerBytes: number
}

interface ClaimRecord {
  readonly digest: string
  state: ClaimState
  touchedAt: number
}

interface Tombstone {
  readonly at: number
}

/** The table as it stands in a snapshot. */
export interface ClaimTableState {
  readonly claims: readonly (readonly [string, string, ClaimState, number])[]
  readonly withdrawn: readonly (readonly [string, number])[]
}

const noClaims: ClaimTableState = { claims: [], withdrawn: [] }

export class ClaimTable {
  #bounds: ClaimBounds
  #claims = new Map<string, ClaimRecord>()
  #withdrawn = new Map<AttemptId, Tombstone>()
  /** Names of claims with a stored answer, oldest first. */
  #answered = new Set<string>()
  #bytes = 0

  constructor (bounds: ClaimBounds, state: ClaimTableState = noClaims) {
    this.#bounds = bounds
    for (const [name, digest, claim, touchedAt] of state.claims) this.#put(name, { digest, state: claim, touchedAt })
    for (const [attempt, at] of state.withdrawn) this.#withdrawn.set(attempt, { at })
  }

  get size (): number { return this.#claims.size }
  get answerBytes (): number { return this.#bytes }

  /** Carries out one command at agreed time `now`. */
  apply (command: ClaimCommand, now: number): ClaimResult {
    this.#expire(now)
    switch (command.type) {
      case 'claim': return this.#claim(command.key, command.digest, command.attempt, command.ttlMs, now)
      case 'withdraw': return this.#withdraw(command.key, command.attempt, now)
      case 'settle': return this.#settle(command.key, command.attempt, command.answer, now)
    }
  }

  /** The table for a snapshot. */
  save (): ClaimTableState {
    return {
      claims: [...this.#claims].map(([name, one]) => [name, one.digest, one.state, one.touchedAt]),
      withdrawn: [...this.#withdrawn].map(([attempt, one]) => [attempt, one.at])
    }
  }

  #claim (key: ClaimKey, digest: string, attempt: AttemptId, ttlMs: number, now: number): ClaimResult {
    if (this.#withdrawn.has(attempt)) return { type: 'withdrawn' }
    const name = formatKey(key)
    const known = this.#claims.get(name)
    if (known === undefined) {
      this.#put(name, { digest, state: { type: 'claimed', attempt, until: now + ttlMs }, touchedAt: now })
      return { type: 'granted' }
    }
    if (known.digest !== digest) return { type: 'other-body' }
    return this.#tell(name, known, attempt, now)
  }

  #tell (name: string, known: ClaimRecord, attempt: AttemptId, now: number): ClaimResult {
    const { state } = known
    switch (state.type) {
      case 'answered': return state
      case 'answer-dropped': return state
      case 'unknown': return state
      case 'claimed':
        if (now >= state.until) {
          this.#put(name, { digest: known.digest, state: { type: 'unknown' }, touchedAt: now })
          return { type: 'unknown' }
        }
        // The same attempt asks again after losing the answer.
        if (state.attempt === attempt) return { type: 'granted' }
        return { type: 'in-progress', untilMs: state.until - now }
    }
  }

  #withdraw (key: ClaimKey, attempt: AttemptId, now: number): ClaimResult {
    this.#withdrawn.set(attempt, { at: now })
    const name = formatKey(key)
    const known = this.#claims.get(name)
    if (known?.state.type === 'claimed' && known.state.attempt === attempt) this.#remove(name)
    return { type: 'withdrawn' }
  }

  #settle (key: ClaimKey, attempt: AttemptId, answer: StoredAnswer | null, now: number): ClaimResult {
    const name = formatKey(key)
    const known = this.#claims.get(name)
    if (known === undefined || known.state.type !== 'claimed' || known.state.attempt !== attempt) return { type: 'unknown' }
    this.#put(name, { digest: known.digest, state: this.#keepAnswer(answer), touchedAt: now })
    this.#dropOldAnswers()
    return { type: 'settled' }
  }

  #keepAnswer (answer: StoredAnswer | null): ClaimState {
    if (answer === null) return { type: 'unknown' }
    if (answer.body.length > this.#bounds.oneAnswerBytes) return { type: 'answer-dropped' }
    return { type: 'answered', answer }
  }

  // The map's order is the order of the last change, so both loops stop early.
  #expire (now: number): void {
    for (const [name, one] of this.#claims) {
      if (now - one.touchedAt <= this.#bounds.keepMs) break
      if (one.state.type === 'claimed' && now < one.state.until) break
      this.#remove(name)
    }
    for (const [attempt, one] of this.#withdrawn) {
      if (now - one.at <= this.#bounds.keepMs) break
      this.#withdrawn.delete(attempt)
    }
  }

  #dropOldAnswers (): void {
    for (const name of this.#answered) {
      if (this.#bytes <= this.#bounds.answerBytes) return
      const known = this.#claims.get(name)
      if (known === undefined) continue
      this.#bytes -= measureAnswer(known.state)
      known.state = { type: 'answer-dropped' }
      this.#answered.delete(name)
    }
  }

  #put (name: string, record: ClaimRecord): void {
    this.#remove(name)
    this.#claims.set(name, record)
    this.#bytes += measureAnswer(record.state)
    if (record.state.type === 'answered') this.#answered.add(name)
  }

  #remove (name: string): void {
    const known = this.#claims.get(name)
    if (known === undefined) return
    this.#bytes -= measureAnswer(known.state)
    this.#claims.delete(name)
    this.#answered.delete(name)
  }
}

function formatKey (key: ClaimKey): string {
  return JSON.stringify([key.workspace, key.service, key.key])
}

function measureAnswer (state: ClaimState): number {
  return state.type === 'answered' ? state.answer.body.length : 0
}
