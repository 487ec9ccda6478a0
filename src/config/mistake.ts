/** A validation error of a file: its location, the value found, and the values allowed. */
export interface Mistake {
  /** Dotted path of the key. */
  readonly key: string
  /** Line of the file, from 1; null if unknown. */
  readonly line: number | null
  readonly found: string
  readonly allowed: string
}

/** Formats a mistake as one line for operators. */
export function formatMistake (file: string, mistake: Mistake): string {
  const place = mistake.line === null ? file : `${file}:${mistake.line}`
  const key = mistake.key === '' ? '' : ` ${mistake.key}:`
  return `${place}:${key} found ${mistake.found}; allowed: ${mistake.allowed}`
}
