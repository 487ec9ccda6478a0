/** Sections of named items: what operators configure. */
export type Document = Readonly<Record<string, Readonly<Record<string, unknown>>>>

/** One item that a plan adds, changes or removes; null where it is absent. */
export interface Change {
  readonly section: string
  readonly name: string
  readonly before: unknown
  readonly after: unknown
}

/** A revision that was accepted. */
export interface Revision {
  readonly revision: number
  readonly changes: readonly Change[]
  readonly operator: string
  readonly time: number
}

/** A plan that waits to be confirmed. */
export interface Plan {
  readonly number: number
  readonly base: number
  readonly operator: string
  readonly changes: readonly Change[]
  readonly time: number
}

/** Tells an operator's command apart from every other. */
export interface CommandId {
  readonly operator: string
  readonly number: string
  /** Digest of the command's body. */
  readonly digest: string
}

/** What operators ask of the ledger. */
export type LedgerCommand =
  | { readonly type: 'plan', readonly id: CommandId, readonly base: number, readonly changes: readonly Change[] }
  | { readonly type: 'confirm', readonly id: CommandId, readonly plan: number }

/** The answer to a command. */
export type LedgerResult =
  | { readonly type: 'planned', readonly plan: number, readonly base: number, readonly changes: readonly Change[] }
  | { readonly type: 'accepted', readonly revision: number }
  | { readonly type: 'conflict', readonly base: number, readonly revision: number, readonly since: readonly Change[] }
  | { readonly type: 'unknown-plan', readonly plan: number }
  | { readonly type: 'already-confirmed', readonly plan: number, readonly revision: number }
  /** The command's number was used by this operator with another body. */
  | { readonly type: 'other-command' }
