import { isHeaderText } from '../core/index.js'
import { DocumentError } from './dialect.js'

/**
 * Reads a decoded document field by field and collects all mistakes, so that an
 * operator sees them at once. Unknown fields are ignored for forward
 * compatibility: newer documents may have them.
 */
export class DocumentReader {
  #table: Readonly<Record<string, unknown>>
  #path: string
  #mistakes: string[]

  constructor (value: unknown, path = '', mistakes: string[] = []) {
    this.#path = path
    this.#mistakes = mistakes
    this.#table = isTable(value) ? value : {}
    if (!isTable(value)) this.#addMistake('', 'is not a table')
  }

  has (key: string): boolean { return this.#table[key] !== undefined && this.#table[key] !== null }

  /** A non-empty string; a missing one is a mistake unless there is a fallback. */
  readString (key: string, fallback?: string): string {
    const found = this.#table[key]
    if (typeof found === 'string' && found !== '') return found
    if (fallback !== undefined && !this.has(key)) return fallback
    this.#addMistake(key, 'is not a text string, or is empty')
    return ''
  }

  /** As `readString`; the text is one that headers can carry. */
  readText (key: string, fallback?: string): string {
    const text = this.readString(key, fallback)
    return isHeaderText(text) ? text : this.addMistake(key, 'holds control characters, unpaired surrogates, or spaces at its ends', '')
  }

  readNumber (key: string, fallback?: number): number {
    const found = this.#table[key]
    if (typeof found === 'number' && Number.isFinite(found)) return found
    if (fallback !== undefined && !this.has(key)) return fallback
    this.#addMistake(key, 'is not a number')
    return 0
  }

  /** A safe integer that is at least `least`. */
  readInteger (key: string, least = 0, fallback?: number): number {
    const found = this.#table[key]
    if (fallback !== undefined && !this.has(key)) return fallback
    if (Number.isSafeInteger(found) && (found as number) >= least) return found as number
    this.#addMistake(key, `is not an integer of at least ${least}`)
    return least
  }

  /** All fields as [key, number] pairs; a field that isn't a number is a mistake. */
  readNumbers (): [string, number][] {
    return Object.keys(this.#table).map(key => [key, this.readNumber(key)])
  }

  readBoolean (key: string, fallback: boolean): boolean {
    const found = this.#table[key]
    if (typeof found === 'boolean') return found
    if (this.has(key)) this.#addMistake(key, 'is not true or false')
    return fallback
  }

  /** Maps a key of `choices` to its value. */
  readChoice<T> (key: string, choices: Readonly<Record<string, T>>): T {
    const found = this.#table[key]
    if (typeof found === 'string' && Object.hasOwn(choices, found)) return choices[found]
    this.#addMistake(key, `is not one of ${Object.keys(choices).join(', ')}`)
    return Object.values(choices)[0]
  }

  /** A list of tables; a missing one is a mistake. */
  readList<T> (key: string, read: (reader: DocumentReader) => T): T[] {
    const found = this.#table[key]
    if (Array.isArray(found)) return found.map((one, i) => read(new DocumentReader(one, this.#join(`${key}.${i}`), this.#mistakes)))
    this.#addMistake(key, 'is not a list')
    return []
  }

  readStrings (key: string): string[] {
    const found = this.#table[key]
    if (Array.isArray(found) && found.every(one => typeof one === 'string')) return found
    this.#addMistake(key, 'is not a list of strings')
    return []
  }

  readTable<T> (key: string, read: (reader: DocumentReader) => T): T {
    return read(new DocumentReader(this.#table[key], this.#join(key), this.#mistakes))
  }

  /** Records a mistake that the caller found; returns `replacement` as the field's value. */
  addMistake<T> (key: string, problem: string, replacement: T): T {
    this.#addMistake(key, problem)
    return replacement
  }

  /** Throws `DocumentError` if there were any mistakes. */
  throwIfInvalid (): void {
    if (this.#mistakes.length > 0) throw new DocumentError(this.#mistakes)
  }

  #addMistake (key: string, problem: string): void {
    this.#mistakes.push(`${this.#join(key) || 'the document'} ${problem}`)
  }

  #join (key: string): string {
    return key === '' ? this.#path : this.#path === '' ? key : `${this.#path}.${key}`
  }
}

/** Parses JSON; throws `DocumentError` on a syntax error. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new DocumentError([`not JSON: ${(error as Error).message}`])
  }
}

function isTable (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
