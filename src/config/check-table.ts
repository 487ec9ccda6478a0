import type { Field, FieldTable } from './field.js'
import { findLine } from './key-lines.js'
import type { Mistake } from './mistake.js'

/** A table with defaults filled in, and all mistakes that were found in it. */
export interface CheckResult {
  readonly value: Readonly<Record<string, unknown>>
  readonly mistakes: readonly Mistake[]
}

type NumberField = Extract<Field, { type: 'number' }>

/** Greatest edit distance at which a known key is suggested for an unknown one. */
const maxSuggestionDistance = 3

/**
 * Validates a parsed table against its field descriptions: fills in defaults and
 * collects all mistakes instead of stopping at the first.
 */
export function checkTable (table: Readonly<Record<string, unknown>>, fields: FieldTable, lines: ReadonlyMap<string, number>, path = ''): CheckResult {
  const checker = new TableChecker(lines, table)
  const value = checker.checkFields(table, fields, path)
  return { value, mistakes: checker.mistakes }
}

class TableChecker {
  readonly mistakes: Mistake[] = []
  #lines: ReadonlyMap<string, number>
  #file: Readonly<Record<string, unknown>>

  constructor (lines: ReadonlyMap<string, number>, file: Readonly<Record<string, unknown>>) {
    this.#lines = lines
    this.#file = file
  }

  checkFields (table: Readonly<Record<string, unknown>>, fields: FieldTable, path: string): Record<string, unknown> {
    const value: Record<string, unknown> = {}
    for (const [key, field] of Object.entries(fields)) {
      const at = join(path, key)
      if (table[key] !== undefined) value[key] = this.#check(table[key], field, at)
      else if (field.fallback !== undefined) value[key] = field.fallback
      else if (field.type === 'named') value[key] = {}
      else this.#addMistake(at, 'nothing', `${describe(field)} (the key is required)`)
    }
    for (const key of Object.keys(table)) {
      if (!Object.hasOwn(fields, key)) this.#addUnknown(key, fields, path)
    }
    return value
  }

  #check (value: unknown, field: Field, path: string): unknown {
    switch (field.type) {
      case 'text': return this.#expect(typeof value === 'string' && (field.pattern?.test(value) ?? true), value, field, path)
      case 'number': return this.#checkNumber(value, limitField(field, this.#file), path)
      case 'switch': return this.#expect(typeof value === 'boolean', value, field, path)
      case 'choice': return this.#expect(typeof value === 'string' && field.of.includes(value), value, field, path)
      case 'list': return this.#checkList(value, field, path)
      case 'table': return isTable(value) ? this.checkFields(value, field.fields, path) : this.#expect(false, value, field, path)
      case 'named': return this.#checkNamed(value, field, path)
    }
  }

  #checkNumber (value: unknown, field: NumberField, path: string): unknown { return this.#expect(isWithin(value, field), value, field, path) }

  #checkList (found: unknown, field: Extract<Field, { type: 'list' }>, path: string): unknown {
    if (!Array.isArray(found) || found.length < field.minItems) return this.#expect(false, found, field, path)
    return found.map((one, i) => this.#check(one, field.of, `${path}.${i}`))
  }

  #checkNamed (found: unknown, field: Extract<Field, { type: 'named' }>, path: string): unknown {
    if (!isTable(found)) return this.#expect(false, found, field, path)
    const value: Record<string, unknown> = {}
    for (const [name, one] of Object.entries(found)) {
      const at = join(path, name)
      value[name] = isTable(one) ? this.checkFields(one, field.fields, at) : this.#expect(false, one, field, at)
    }
    return value
  }

  #expect (ok: boolean, found: unknown, field: Field, path: string): unknown {
    if (!ok) this.#addMistake(path, JSON.stringify(found) ?? 'nothing', describe(field))
    return found
  }

  #addUnknown (key: string, fields: FieldTable, path: string): void {
    const suggestion = findNearest(key, Object.keys(fields))
    const hint = suggestion === null ? `one of ${Object.keys(fields).join(', ')}` : `did you mean "${suggestion}"?`
    this.#addMistake(join(path, key), 'an unknown key', hint)
  }

  #addMistake (key: string, found: string, allowed: string): void {
    this.mistakes.push({ key, line: findLine(this.#lines, key), found, allowed })
  }
}

/** Describes the values that a field allows, for error messages and documentation. */
export function describe (field: Field): string {
  switch (field.type) {
    case 'text': return field.allowed ?? 'text'
    case 'number': return `a ${field.isInteger ? 'whole ' : ''}number from ${field.min} to ${field.max} (${field.unit})`
    case 'switch': return 'true or false'
    case 'choice': return field.of.map(one => `"${one}"`).join(' or ')
    case 'list': return `a list${field.minItems > 0 ? ` of at least ${field.minItems}` : ''}, each ${describe(field.of)}`
    case 'table': return `a table with ${Object.keys(field.fields).join(', ')}`
    case 'named': return `tables by name, each with ${Object.keys(field.fields).join(', ')}`
  }
}

// Applies the limit that depends on another number of the file.
function limitField (field: NumberField, file: Readonly<Record<string, unknown>>): NumberField {
  if (field.limitedBy === undefined) return field
  let other: unknown = file
  for (const key of field.limitedBy.key.split('.')) other = isTable(other) ? other[key] : undefined
  if (typeof other !== 'number' || !Number.isFinite(other)) return field
  const limit = other * field.limitedBy.share
  return { ...field, max: Math.max(field.min, Math.min(field.max, field.isInteger ? Math.floor(limit) : limit)) }
}

function isWithin (found: unknown, field: NumberField): boolean {
  if (typeof found !== 'number' || !Number.isFinite(found)) return false
  if (field.isInteger && !Number.isInteger(found)) return false
  return found >= field.min && found <= field.max
}

function isTable (found: unknown): found is Record<string, unknown> {
  return typeof found === 'object' && found !== null && !Array.isArray(found)
}

function join (path: string, key: string): string {
  return path === '' ? key : `${path}.${key}`
}

function findNearest (key: string, known: readonly string[]): string | null {
  let best: string | null = null
  let bestDistance = maxSuggestionDistance + 1
  for (const one of known) {
    const distance = measureDistance(key.toLowerCase(), one.toLowerCase())
    if (distance < bestDistance) {
      bestDistance = distance
      best = one
    }
  }
  return best
}

// Levenshtein distance, computed row by row.
function measureDistance (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, j) => j)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      const cost = a[i - 1] === b[j - 1] ? 0 : 1
      next[j] = Math.min(next[j - 1] + 1, row[j] + 1, row[j - 1] + cost)
    }
    row = next
  }
  return row[b.length]
}
