/**
 * Schema of TOML files. The same field descriptions are used to validate a file,
 * to fill in defaults, and to generate `docs/CONFIG.md`.
 */

interface FieldBase {
  /** Purpose of the key, in one sentence. */
  readonly about: string
  /** Default value; undefined for a required key. */
  readonly fallback?: unknown
}

/** A number is at most a share of another number of the file, if the file has it; `key`: dotted path of the other. */
export interface RelativeLimit {
  readonly key: string
  readonly share: number
}

/** Schema of the value of one key. */
export type Field =
  | (FieldBase & { readonly type: 'text', readonly pattern?: RegExp, readonly allowed?: string })
  | (FieldBase & { readonly type: 'number', readonly min: number, readonly max: number, readonly isInteger: boolean, readonly unit: string, readonly limitedBy?: RelativeLimit })
  | (FieldBase & { readonly type: 'switch' })
  | (FieldBase & { readonly type: 'choice', readonly of: readonly string[] })
  | (FieldBase & { readonly type: 'list', readonly of: Field, readonly minItems: number })
  | (FieldBase & { readonly type: 'table', readonly fields: FieldTable })
  | (FieldBase & { readonly type: 'named', readonly fields: FieldTable })

/** Schema of a table, by key. */
export type FieldTable = Readonly<Record<string, Field>>

const namePattern = /^[a-z0-9][a-z0-9.-]{0,62}$/
const nameAllowed = 'a name of a-z, 0-9, "-" and ".", at most 63 characters'

/** A name of a box, zone, class or similar. */
export function describeName (about: string, fallback?: string): Field {
  return { type: 'text', about, pattern: namePattern, allowed: nameAllowed, ...withFallback(fallback) }
}

/** Any text. */
export function describeText (about: string, fallback?: string): Field {
  return { type: 'text', about, ...withFallback(fallback) }
}

/** A host by its IP address. */
export function describeHost (about: string, fallback?: string): Field {
  return { type: 'text', about, pattern: /^(\d{1,3}\.){3}\d{1,3}$|^[0-9a-f:]+$/, allowed: 'an IP address', ...withFallback(fallback) }
}

/** A TCP or UDP port. */
export function describePort (about: string, fallback?: number): Field {
  return { type: 'number', about, min: 0, max: 65_535, isInteger: true, unit: 'port', ...withFallback(fallback) }
}

/** An integer with its unit and inclusive bounds. */
export function describeInteger (about: string, unit: string, min: number, max: number, fallback?: number): Extract<Field, { type: 'number' }> {
  return { type: 'number', about, min, max, isInteger: true, unit, ...withFallback(fallback) }
}

/** A number with its unit and inclusive bounds. */
export function describeNumber (about: string, unit: string, min: number, max: number, fallback?: number): Field {
  return { type: 'number', about, min, max, isInteger: false, unit, ...withFallback(fallback) }
}

function withFallback (fallback: unknown): { fallback?: unknown } {
  return fallback === undefined ? {} : { fallback }
}
