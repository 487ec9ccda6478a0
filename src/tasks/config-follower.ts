/**
 * A box's copy of the configuration. It moves forward only, whoever brings the
 * word: a keeper, a box of the zone, or the file of an earlier start.
 */
import { readFileSync } from 'node:fs'
import { open, rename } from 'node:fs/promises'
import { applyChanges } from '../coordination/index.js'
import type { Document, Revision } from '../coordination/index.js'
import { readConfiguration } from '../config/index.js'
import type { Configuration } from '../config/index.js'

interface Cached {
  readonly document: Document
  readonly revision: number
}

export class ConfigFollower {
  #document: Document = {}
  #revision = 0
  #recent: Revision[] = []
  #configuration: Configuration = readConfiguration({}, 0)
  #cacheFile: string
  #saving = false
  #changed: (configuration: Configuration) => void

  /** `cacheFile` may be empty; `changed` is called after every step forward. */
  constructor (cacheFile: string, changed: (configuration: Configuration) => void) {
    this.#cacheFile = cacheFile
    this.#changed = changed
  }

  get revision (): number { return this.#revision }
  get document (): Document { return this.#document }
  get configuration (): Configuration { return this.#configuration }

  /** Takes what an earlier start kept, if there is any. */
  load (): void {
    if (this.#cacheFile === '') return
    let text
    try {
      text = readFileSync(this.#cacheFile, 'utf8')
    } catch {
      return
    }
    try {
      const cached = JSON.parse(text) as Cached
      this.takeWhole(cached.document, cached.revision)
    } catch {
      // A cache that can't be read is no cache: the keepers or peers have it.
    }
  }

  /** Takes accepted revisions; false where some before them are missing. */
  takeRevisions (revisions: readonly Revision[]): boolean {
    const fresh = revisions.filter(one => one.revision > this.#revision)
    if (fresh.length === 0) return true
    if (fresh[0].revision !== this.#revision + 1) return false
    let document = this.#document
    for (const one of fresh) document = applyChanges(document, one.changes)
    this.#recent.push(...fresh)
    if (this.#recent.length > 256) this.#recent.splice(0, this.#recent.length - 256)
    this.#set(document, fresh[fresh.length - 1].revision)
    return true
  }

  /** Takes a whole document, where it's newer. */
  takeWhole (document: Document, revision: number): void {
    if (revision <= this.#revision) return
    this.#recent = []
    this.#set(document, revision)
  }

  /** What a peer with `revision` lacks; null where only the whole will do. */
  findSince (revision: number): Revision[] | null {
    const since = this.#recent.filter(one => one.revision > revision)
    return since.length === this.#revision - revision ? since : null
  }

  #set (document: Document, revision: number): void {
    this.#document = document
    this.#revision = revision
    this.#configuration = readConfiguration(document, revision)
    this.#changed(this.#configuration)
    if (this.#cacheFile !== '') void this.#save()
  }

  async #save (): Promise<void> {
    if (this.#saving) return
    this.#saving = true
    try {
      let saved = -1
      while (saved !== this.#revision) {
        saved = this.#revision
        await this.#write(JSON.stringify({ document: this.#document, revision: saved }))
      }
    } catch {
      // Without a cache a start while cut off has less; nothing else needs it.
    } finally {
      this.#saving = false
    }
  }

  async #write (text: string): Promise<void> {
    const file = await open(`${this.#cacheFile}.new`, 'w')
    await file.writeFile(text)
    await file.sync()
    await file.close()
    await rename(`${this.#cacheFile}.new`, this.#cacheFile)
  }
}
