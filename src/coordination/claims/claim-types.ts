/** Identifies a call that must not run twice. */
export interface ClaimKey {
  readonly workspace: string
  readonly service: string
  /** The value of the caller's `Idempotency-Key` header. */
  readonly key: string
}

/** Globally unique id of one attempt of one box: `box/incarnation/number`. */
export type AttemptId = string

/** The answer of a settled call, stored so that it can be replayed. */
export interface StoredAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** State of a claim. */
export type ClaimState =
  | { readonly type: 'claimed', readonly attempt: AttemptId, readonly until: number }
  | { readonly type: 'answered', readonly answer: StoredAnswer }
  | { readonly type: 'answer-dropped' }
  | { readonly type: 'unknown' }

/** Commands on claims. */
export type ClaimCommand =
  | { readonly type: 'claim', readonly key: ClaimKey, readonly digest: string, readonly attempt: AttemptId, readonly ttlMs: number }
  | { readonly type: 'withdraw', readonly key: ClaimKey, readonly attempt: AttemptId }
  | { readonly type: 'settle', readonly key: ClaimKey, readonly attempt: AttemptId, readonly answer: StoredAnswer | null }

/** Result of a command on claims. */
export type ClaimResult =
  /** Only this attempt may ever write the first byte of the call. */
  | { readonly type: 'granted' }
  | { readonly type: 'answered', readonly answer: StoredAnswer }
  | { readonly type: 'answer-dropped' }
  | { readonly type: 'in-progress', readonly untilMs: number }
  | { readonly type: 'unknown' }
  | { readonly type: 'other-body' }
  /** The attempt has been withdrawn and must not run. */
  | { readonly type: 'withdrawn' }
  | { readonly type: 'settled' }
