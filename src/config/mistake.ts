/** One mistake in a file: where it is, what was found, what is allowed. */
export interface Mistake {
  /** Dotted path of the key. */
  readonly key: string
  /** Line of the file from 1, or null where it isn't known. */
  readonly line: number | null
  readonly found: string
  readonly allowed: string
}

/** A mistake as one line for people. */
export function formatMistake (file: string, mistake: Mistake): string {
  const place = mistake.line === null ? file : `${file}:${mistake.line}`
  const key = mistake.key === '' ? '' : ` ${mistake.key}:`
  return `${place}:${key} found ${mistake.found}; allowed: ${mistake.allowed}`
}
