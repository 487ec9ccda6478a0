/**
 * Descriptions of what a TOML file may hold. One description checks a file,
 * fills in defaults, and is printed as `docs/CONFIG.md`.
 */

interface FieldBase {
  /** What the key is for, in one sentence. */
  readonly about: string
  /** Present where the key may be left out. */
  readonly fallback?: unknown
}

/** A value of one key. */
export type Field =
  | (FieldBase & { readonly type: 'text', readonly pattern?: RegExp, readonly allowed?: string })
  | (FieldBase & { readonly type: 'number', readonly least: number, readonly most: number, readonly whole: boolean, readonly unit: string })
  | (FieldBase & { readonly type: 'switch' })
  | (FieldBase & { readonly type: 'choice', readonly of: readonly string[] })
  | (FieldBase & { readonly type: 'list', readonly of: Field, readonly least: number })
  | (FieldBase & { readonly type: 'table', readonly fields: FieldTable })
  | (FieldBase & { readonly type: 'named', readonly fields: FieldTable })

/** The keys of a table. */
export type FieldTable = Readonly<Record<string, Field>>

const namePattern = /^[a-z0-9][a-z0-9.-]{0,62}$/
const nameAllowed = 'a name of a-z, 0-9, "-" and ".", at most 63 long'

/** A name, as boxes, zones, classes and the like have. */
export function describeName (about: string, fallback?: string): Field {
  return { type: 'text', about, pattern: namePattern, allowed: nameAllowed, ...withFallback(fallback) }
}

/** Any text. */
export function describeText (about: string, fallback?: string): Field {
  return { type: 'text', about, ...withFallback(fallback) }
}

/** A host by its IP number. */
export function describeHost (about: string, fallback?: string): Field {
  return { type: 'text', about, pattern: /^(\d{1,3}\.){3}\d{1,3}$|^[0-9a-f:]+$/, allowed: 'an IP number', ...withFallback(fallback) }
}

/** A TCP or UDP port. */
export function describePort (about: string, fallback?: number): Field {
  return { type: 'number', about, least: 0, most: 65_535, whole: true, unit: 'port', ...withFallback(fallback) }
}

/** A whole number with its unit and bounds. */
export function describeWhole (about: string, unit: string, least: number, most: number, fallback?: number): Field {
  return { type: 'number', about, least, most, whole: true, unit, ...withFallback(fallback) }
}

/** A number with its unit and bounds. */
export function describeNumber (about: string, unit: string, least: number, most: number, fallback?: number): Field {
  return { type: 'number', about, least, most, whole: false, unit, ...withFallback(fallback) }
}

function withFallback (fallback: unknown): { fallback?: unknown } {
  return fallback === undefined ? {} : { fallback }
}
