/** A call that may not be repeated, told apart by these four. */
export interface ClaimKey {
  readonly workspace: string
  readonly service: string
  /** The caller's `Idempotency-Key`. */
  readonly key: string
}

/** One attempt of one box, unique for ever: `box/incarnation/number`. */
export type AttemptId = string

/** The answer that a settled call gave, as it is given again. */
export interface StoredAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** What becomes of a claim. */
export type ClaimState =
  | { readonly type: 'claimed', readonly attempt: AttemptId, readonly until: number }
  | { readonly type: 'answered', readonly answer: StoredAnswer }
  | { readonly type: 'answer-dropped' }
  | { readonly type: 'unknown' }

/** What a box asks of the claims. */
export type ClaimCommand =
  | { readonly type: 'claim', readonly key: ClaimKey, readonly digest: string, readonly attempt: AttemptId, readonly ttlMs: number }
  | { readonly type: 'withdraw', readonly key: ClaimKey, readonly attempt: AttemptId }
  | { readonly type: 'settle', readonly key: ClaimKey, readonly attempt: AttemptId, readonly answer: StoredAnswer | null }

/** The answer to a command on claims. */
export type ClaimResult =
  /** This attempt, and no other ever, may write the call's first byte. */
  | { readonly type: 'granted' }
  | { readonly type: 'answered', readonly answer: StoredAnswer }
  | { readonly type: 'answer-dropped' }
  | { readonly type: 'in-progress', readonly untilMs: number }
  | { readonly type: 'unknown' }
  | { readonly type: 'other-body' }
  /** The attempt was withdrawn before: it must not run. */
  | { readonly type: 'withdrawn' }
  | { readonly type: 'settled' }
