import type { Change, Document } from './ledger-types.js'

/** Returns the document with the changes applied. The input is not modified; unchanged sections are shared. */
export function applyChanges (document: Document, changes: readonly Change[]): Document {
  const touched: Record<string, Record<string, unknown>> = {}
  for (const { section } of changes) touched[section] ??= { ...document[section] }
  applyChangesInPlace(touched, changes)
  return { ...document, ...touched }
}

/** Applies the changes to the given sections in place. */
export function applyChangesInPlace (sections: Record<string, Record<string, unknown>>, changes: readonly Change[]): void {
  for (const { section, name, after } of changes) {
    const items = sections[section] ??= {}
    if (after === null) delete items[name]
    else items[name] = after
  }
}

/** The changes that turn `from` into `to`, sorted by section and name. */
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

/** JSON with the keys of every object sorted, for digests and comparison. */
export function formatCanonical (value: unknown): string {
  return JSON.stringify(value, (_key, member: unknown) => {
    if (member === null || typeof member !== 'object' || Array.isArray(member)) return member
    return Object.fromEntries(Object.entries(member).sort(([a], [b]) => (a < b ? -1 : 1)))
  })
}
