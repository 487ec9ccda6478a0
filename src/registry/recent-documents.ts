/**
 * The documents that a registry had in force of late, so that gateways are told
 * what changed since the one that they have. Boxes of one age ask for the same,
 * so what was packed is kept until the next document.
 */
import type { VersionedText } from '../coordination/index.js'
import { packDocument } from '../protocol/index.js'
import type { PackedDocument } from '../protocol/index.js'

/** Characters of the older documents that are kept, in all: some forty documents of 1,400 routes. */
const maxOlderCharacters = 16 * 2 ** 20

export class RecentDocuments {
  #newest: VersionedText | null = null
  /** Those before it, the newest last. */
  #older: VersionedText[] = []
  /** What was packed of the newest, by the version that it is told against. */
  #packed = new Map<number, PackedDocument>()

  get newest (): VersionedText | null { return this.#newest }

  /** Takes the document in force; false where it isn't newer. */
  add (document: VersionedText): boolean {
    if (document.version <= (this.#newest?.version ?? 0)) return false
    if (this.#newest !== null) this.#older.push(this.#newest)
    this.#newest = document
    this.#packed.clear()
    this.#dropOldest()
    return true
  }

  /** The document in force for one who has the version `held`, 0 for none; null where there is no newer one. */
  pack (heldVersion: number): PackedDocument | null {
    if (this.#newest === null || this.#newest.version <= heldVersion) return null
    const base = this.#older.find(({ version }) => version === heldVersion) ?? null
    const cached = this.#packed.get(base?.version ?? 0)
    if (cached !== undefined) return cached
    const packed = packDocument(this.#newest, base)
    this.#packed.set(packed.base, packed)
    return packed
  }

  #dropOldest (): void {
    let size = this.#older.reduce((sum, { text }) => sum + text.length, 0)
    while (size > maxOlderCharacters) size -= this.#older.shift()?.text.length ?? size
  }
}
