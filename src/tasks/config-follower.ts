/**
 * A box's copy of the configuration, updated by keepers, by boxes in the same zone
 * or from the cache file of an earlier run. Its revision never decreases.
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
  #isSaving = false
  #noteChanged: (configuration: Configuration) => void

  /** `cacheFile`: empty for no cache. `noteChanged` is called after every update. */
  constructor (cacheFile: string, noteChanged: (configuration: Configuration) => void) {
    this.#cacheFile = cacheFile
    this.#noteChanged = noteChanged
  }

  get revision (): number { return this.#revision }
  get document (): Document { return this.#document }
  get configuration (): Configuration { return this.#configuration }

  /** Loads the cache file if there is one. */
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
      this.replaceDocument(cached.document, cached.revision)
    } catch {
      // An unreadable cache is ignored; keepers or peers supply the configuration.
    }
  }

  /** Applies accepted revisions. Returns false if earlier revisions are missing. */
  applyRevisions (revisions: readonly Revision[]): boolean {
    const newer = revisions.filter(item => item.revision > this.#revision)
    if (newer.length === 0) return true
    if (newer[0].revision !== this.#revision + 1) return false
    let document = this.#document
    for (const item of newer) document = applyChanges(document, item.changes)
    this.#recent.push(...newer)
    if (this.#recent.length > 256) this.#recent.splice(0, this.#recent.length - 256)
    this.#set(document, newer[newer.length - 1].revision)
    return true
  }

  /** Replaces the document if `revision` is newer than the current one. */
  replaceDocument (document: Document, revision: number): void {
    if (revision <= this.#revision) return
    this.#recent = []
    this.#set(document, revision)
  }

  /** The revisions after `revision`; null if they are no longer all available, so that the full document must be sent. */
  findSince (revision: number): Revision[] | null {
    const since = this.#recent.filter(item => item.revision > revision)
    return since.length === this.#revision - revision ? since : null
  }

  #set (document: Document, revision: number): void {
    this.#document = document
    this.#revision = revision
    this.#configuration = readConfiguration(document, revision)
    this.#noteChanged(this.#configuration)
    if (this.#cacheFile !== '') void this.#save()
  }

  async #save (): Promise<void> {
    if (this.#isSaving) return
    this.#isSaving = true
    try {
      let saved = -1
      while (saved !== this.#revision) {
        saved = this.#revision
        await this.#write(JSON.stringify({ document: this.#document, revision: saved }))
      }
    } catch {
      // The cache is needed only by a restart while neither keepers nor peers are reachable.
    } finally {
      this.#isSaving = false
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
