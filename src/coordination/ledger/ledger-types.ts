/** A configuration document: sections of named items. */
export type Document = Readonly<Record<string, Readonly<Record<string, unknown>>>>

/** An item that a plan adds, changes or removes; `before` or `after` is null where the item is absent. */
export interface Change {
  readonly section: string
  readonly name: string
  readonly before: unknown
  readonly after: unknown
}

/** An accepted revision. */
export interface Revision {
  readonly revision: number
  readonly changes: readonly Change[]
  readonly operator: string
  readonly time: number
}

/** A plan awaiting confirmation. */
export interface Plan {
  readonly number: number
  readonly base: number
  readonly operator: string
  readonly changes: readonly Change[]
  readonly time: number
}

/** Identifies an operator's command, for deduplication of resends. */
export interface CommandId {
  readonly operator: string
  readonly number: string
  /** Digest of the command's body. */
  readonly digest: string
}

/** Commands of operators. */
export type LedgerCommand =
  | { readonly type: 'plan', readonly id: CommandId, readonly base: number, readonly changes: readonly Change[] }
  | { readonly type: 'confirm', readonly id: CommandId, readonly plan: number }

/** Result of a command. */
export type LedgerResult =
  | { readonly type: 'planned', readonly plan: number, readonly base: number, readonly changes: readonly Change[] }
  | { readonly type: 'accepted', readonly revision: number }
  | { readonly type: 'conflict', readonly base: number, readonly revision: number, readonly since: readonly Change[] }
  | { readonly type: 'unknown-plan', readonly plan: number }
  | { readonly type: 'already-confirmed', readonly plan: number, readonly revision: number }
  /** The operator already used this command number with a different body. */
  | { readonly type: 'other-command' }
