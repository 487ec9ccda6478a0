/**
 * Recent versions of the routing document, from which gateways get the difference
 * to the version that they hold. Many gateways hold the same version, so each
 * difference is cached until the next document.
 */
import type { VersionedText } from '../coordination/index.js'
import { packDocument } from '../protocol/index.js'
import type { PackedDocument } from '../protocol/index.js'

/** Maximum total length of the older documents, in characters: about forty documents of 1,400 routes. */
const maxOlderCharacters = 16 * 2 ** 20

export class RecentDocuments {
  #newest: VersionedText | null = null
  /** The versions before it, newest last. */
  #older: VersionedText[] = []
  /** The newest document as packed, by base version; 0 for the full document. */
  #packed = new Map<number, PackedDocument>()

  get newest (): VersionedText | null { return this.#newest }

  /** Adds the active document; false where it isn't newer. */
  add (document: VersionedText): boolean {
    if (document.version <= (this.#newest?.version ?? 0)) return false
    if (this.#newest !== null) this.#older.push(this.#newest)
    this.#newest = document
    this.#packed.clear()
    this.#dropOldest()
    return true
  }

  /** The active document for a gateway that has `heldVersion`, 0 for none; null where there is no newer one. */
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
