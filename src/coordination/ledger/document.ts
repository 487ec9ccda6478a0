import type { Change, Document } from './ledger-types.js'

/** The document with the changes made. The given one stays as it is, and sections without a change are shared. */
export function applyChanges (document: Document, changes: readonly Change[]): Document {
  const touched: Record<string, Record<string, unknown>> = {}
  for (const { section } of changes) touched[section] ??= { ...document[section] }
  applyChangesInPlace(touched, changes)
  return { ...document, ...touched }
}

/** Makes the changes in the given sections themselves. */
export function applyChangesInPlace (sections: Record<string, Record<string, unknown>>, changes: readonly Change[]): void {
  for (const { section, name, after } of changes) {
    const items = sections[section] ??= {}
    if (after === null) delete items[name]
    else items[name] = after
  }
}

/** The changes that lead from one document to another, in order of name. */
export function diffDocuments (from: Document, to: Document): Change[] {
  const changes: Change[] = []
  const sections = new Set([...Object.keys(from), ...Object.keys(to)])
  for (const section of [...sections].sort()) {
    const fromItems = from[section] ?? {}
    const toItems = to[section] ?? {}
    const names = new Set([...Object.keys(fromItems), ...Object.keys(toItems)])
    for (const name of [...names].sort()) {
      const before = fromItems[name] ?? null
      const after = toItems[name] ?? null
      if (!isEqual(before, after)) changes.push({ section, name, before, after })
    }
  }
  return changes
}

function isEqual (a: unknown, b: unknown): boolean {
  return formatCanonical(a) === formatCanonical(b)
}

/** JSON with the keys of every object in order, for digests and comparison. */
export function formatCanonical (value: unknown): string {
  return JSON.stringify(value, (_key, member: unknown) => {
    if (member === null || typeof member !== 'object' || Array.isArray(member)) return member
    return Object.fromEntries(Object.entries(member).sort(([a], [b]) => (a < b ? -1 : 1)))
  })
}
