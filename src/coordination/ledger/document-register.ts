/**
 * A whole document under a version that is given from outside. The highest
 * version wins; an equal or lower one changes nothing, whatever it holds, so
 * that operators who race or send again can't undo each other.
 */

/** A document as it was accepted, byte for byte. */
export interface VersionedText {
  readonly version: number
  readonly text: string
}

/** Puts a document in force. */
export interface DocumentCommand {
  readonly type: 'put'
  readonly document: VersionedText
}

/** `held`: a document with this or a higher version was in force already. */
export interface DocumentResult {
  readonly type: 'taken' | 'held'
  readonly version: number
}

export class DocumentRegister {
  #newest: VersionedText | null

  constructor (newest: VersionedText | null = null) {
    this.#newest = newest
  }

  /** The document in force; null before the first. */
  get newest (): VersionedText | null { return this.#newest }

  apply ({ document }: DocumentCommand): DocumentResult {
    if (this.#newest !== null && document.version <= this.#newest.version) return { type: 'held', version: this.#newest.version }
    this.#newest = document
    return { type: 'taken', version: document.version }
  }

  save (): VersionedText | null { return this.#newest }
}
