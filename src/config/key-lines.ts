const headerPattern = /^\s*\[(\[)?\s*([^\]]+?)\s*\]/
const keyPattern = /^\s*("[^"]*"|'[^']*'|[A-Za-z0-9_.-]+)\s*=/

/** Maps the dotted path of each key and table of a TOML text to its line, from 1. */
export function findKeyLines (text: string): ReadonlyMap<string, number> {
  const lines = new Map<string, number>()
  const counts = new Map<string, number>()
  let table = ''
  text.split('\n').forEach((line, i) => {
    const header = headerPattern.exec(line)
    if (header !== null) {
      table = joinParts(header[2])
      recordTable(lines, table, i + 1)
      if (header[1] === undefined) return
      table = addArrayItem(table, counts)
      recordLine(lines, table, i + 1)
      return
    }
    const key = keyPattern.exec(line)
    if (key !== null) recordLine(lines, table === '' ? joinParts(key[1]) : `${table}.${joinParts(key[1])}`, i + 1)
  })
  return lines
}

/** The line of a path, or of its nearest enclosing table; null where neither is known. */
export function findLine (lines: ReadonlyMap<string, number>, path: string): number | null {
  let at = path
  while (at !== '') {
    const line = lines.get(at)
    if (line !== undefined) return line
    at = at.slice(0, Math.max(0, at.lastIndexOf('.')))
  }
  return null
}

function joinParts (text: string): string {
  return text.replace(/["']/g, '').replace(/\s*\.\s*/g, '.')
}

function addArrayItem (table: string, counts: Map<string, number>): string {
  const count = counts.get(table) ?? 0
  counts.set(table, count + 1)
  return `${table}.${count}`
}

// A header also defines its enclosing tables, unless an earlier line did.
function recordTable (lines: Map<string, number>, path: string, line: number): void {
  for (let at = path; at !== ''; at = at.slice(0, Math.max(0, at.lastIndexOf('.')))) recordLine(lines, at, line)
}

function recordLine (lines: Map<string, number>, path: string, line: number): void {
  if (!lines.has(path)) lines.set(path, line)
}
