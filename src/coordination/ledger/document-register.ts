/**
 * A document with an externally assigned version. The highest version wins; an
 * equal or lower version is ignored whatever its contents, so concurrent or
 * resent updates by operators can't undo each other.
 */

/** A document exactly as accepted, byte for byte. */
export interface VersionedText {
  readonly version: number
  readonly text: string
}

/** Replaces the current document. */
export interface DocumentCommand {
  readonly type: 'put'
  readonly document: VersionedText
}

/** `held`: the register already holds this version or a higher one, given in `version`. */
export interface DocumentResult {
  readonly type: 'taken' | 'held'
  readonly version: number
}

export class DocumentRegister {
  #newest: VersionedText | null

  constructor (newest: VersionedText | null = null) {
    this.#newest = newest
  }

  /** The current document; null before the first. */
  get newest (): VersionedText | null { return this.#newest }

  apply ({ document }: DocumentCommand): DocumentResult {
    if (this.#newest !== null && document.version <= this.#newest.version) return { type: 'held', version: this.#newest.version }
    this.#newest = document
    return { type: 'taken', version: document.version }
  }

  save (): VersionedText | null { return this.#newest }
}
