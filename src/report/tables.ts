/** Reference tables generated from the definitions in the code, so that the two can't diverge. */
import { describe } from '../config/index.js'
import type { Field, FieldTable } from '../config/index.js'
import { errorTable } from '../core/index.js'

/** Formats the table of `docs/ERRORS.md`. */
export function formatErrors (): string {
  const lines = ['| kind | status | type | outcome | Retry-After | meaning |', '|---|---|---|---|---|---|']
  for (const [kind, answer] of Object.entries(errorTable)) {
    lines.push(`| \`${kind}\` | ${answer.status} | \`${answer.type}\` | \`${answer.outcome}\` | ${answer.retryAfter ? 'yes' : 'no'} | ${answer.meaning} |`)
  }
  return lines.join('\n')
}

/** Formats one table of `docs/CONFIG.md`; nested fields get dotted paths. */
export function formatFields (fields: FieldTable): string {
  const lines = ['| key | type | default | about |', '|---|---|---|---|']
  addFields(lines, fields, '')
  return lines.join('\n')
}

function addFields (lines: string[], fields: FieldTable, path: string): void {
  for (const [key, field] of Object.entries(fields)) addField(lines, `${path}${key}`, field)
}

function addField (lines: string[], path: string, field: Field): void {
  const inner = field.type === 'list' ? field.of : field
  switch (inner.type) {
    case 'named':
      lines.push(`| \`${path}.NAME\` | table | | ${field.about} |`)
      return addFields(lines, inner.fields, `${path}.NAME.`)
    case 'table':
      lines.push(`| \`${path}\` | ${field.type === 'list' ? 'list of tables' : 'table'} | ${formatDefault(field)} | ${field.about} |`)
      return addFields(lines, inner.fields, `${path}.`)
    default:
      lines.push(`| \`${path}\` | ${describe(field)} | ${formatDefault(field)} | ${field.about} |`)
  }
}

function formatDefault (field: Field): string {
  if (field.fallback === undefined) return field.type === 'named' ? '' : 'required'
  if (field.fallback === null) return 'none'
  return `\`${JSON.stringify(field.fallback)}\``
}
