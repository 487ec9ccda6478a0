import { applyChanges, diffDocuments } from '../coordination/index.js'
import type { Change, Document } from '../coordination/index.js'
import { parse, TomlError } from 'smol-toml'
import { checkTable } from './check-table.js'
import type { FieldTable } from './field.js'
import { intentFields } from './intent-fields.js'
import { findKeyLines } from './key-lines.js'
import type { Mistake } from './mistake.js'

/** An operator's declaration of configuration items to create or replace, and items to remove. */
export interface Intent {
  readonly items: Document
  readonly remove: readonly string[]
}

/** A parsed value, or the mistakes in its text. */
export type Parsed<T> =
  | { readonly ok: true, readonly value: T }
  | { readonly ok: false, readonly mistakes: readonly Mistake[] }

/** Parses a TOML text and validates it; reports all mistakes, or only the first where the syntax is invalid. */
export function parseToml (text: string, fields: FieldTable): Parsed<Readonly<Record<string, unknown>>> {
  let table
  try {
    table = parse(text)
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    const found = error.message.split('\n')[0]
    return { ok: false, mistakes: [{ key: '', line: error.line, found, allowed: 'a TOML file' }] }
  }
  const { value, mistakes } = checkTable(table, fields, findKeyLines(text))
  return mistakes.length === 0 ? { ok: true, value } : { ok: false, mistakes }
}

export function parseIntent (text: string): Parsed<Intent> {
  const parsed = parseToml(text, intentFields)
  if (!parsed.ok) return parsed
  const { remove, ...items } = parsed.value
  return { ok: true, value: { items: items as Document, remove: remove as string[] } }
}

/** Computes the changes that an intent makes to a document. */
export function planIntent (intent: Intent, document: Document): Change[] {
  const removals: Change[] = intent.remove.map(path => {
    const dotIndex = path.indexOf('.')
    return { section: path.slice(0, dotIndex), name: path.slice(dotIndex + 1), before: null, after: null }
  })
  const additions: Change[] = []
  for (const [section, items] of Object.entries(intent.items)) {
    for (const [name, after] of Object.entries(items)) additions.push({ section, name, before: null, after })
  }
  return diffDocuments(document, applyChanges(document, [...additions, ...removals]))
}

/** Finds mistakes across items: dangling references, keys of several workspaces, inconsistent priorities. */
export function checkDocument (document: Document): Mistake[] {
  const mistakes: Mistake[] = []
  const checkReference = (path: string, section: string, name: unknown): void => {
    const known = Object.keys(document[section] ?? {})
    if (typeof name === 'string' && known.includes(name)) return
    const allowed = known.length === 0 ? `${section} are not configured` : `one of ${known.join(', ')}`
    mistakes.push({ key: path, line: null, found: JSON.stringify(name), allowed })
  }
  for (const [name, item] of Object.entries(document.workspaces ?? {})) {
    checkReference(`workspaces.${name}.defaultClass`, 'classes', (item as { defaultClass: string }).defaultClass)
  }
  for (const [name, item] of Object.entries(document.engines ?? {})) {
    checkReference(`engines.${name}.pool`, 'pools', (item as { pool: string }).pool)
  }
  return [...mistakes, ...checkKeys(document), ...checkClasses(document)]
}

function checkKeys (document: Document): Mistake[] {
  const mistakes: Mistake[] = []
  const owners = new Map<string, string>()
  for (const [name, item] of Object.entries(document.workspaces ?? {})) {
    for (const key of (item as { keys: string[] }).keys) {
      const owner = owners.get(key)
      if (owner !== undefined && owner !== name) {
        mistakes.push({ key: `workspaces.${name}.keys`, line: null, found: `a key of workspace ${owner}`, allowed: 'a key that belongs to only one workspace' })
      }
      owners.set(key, name)
    }
  }
  return mistakes
}

// Classes that may wait must have a lower priority (a larger number) than all others.
function checkClasses (document: Document): Mistake[] {
  const classes = Object.entries(document.classes ?? {}) as [string, { priority: number, mayWait: boolean }][]
  const nonWaitingPriorities = classes.filter(([, one]) => !one.mayWait).map(([, one]) => one.priority)
  const lowestNonWaiting = Math.max(-1, ...nonWaitingPriorities)
  const mistakes: Mistake[] = []
  for (const [name, one] of classes) {
    if (!one.mayWait || one.priority > lowestNonWaiting) continue
    mistakes.push({ key: `classes.${name}.priority`, line: null, found: String(one.priority), allowed: `a number over ${lowestNonWaiting}, the lowest priority of the classes that may not wait` })
  }
  return mistakes
}
