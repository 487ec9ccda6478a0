/**
 * A list on a registry's disk that need not last, so that a registry that starts
 * knows at once what it knew. It may be old, torn or missing: the boxes say it anew.
 */
import { mkdir, readFile, rename, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import type { EventLog } from '../runtime/index.js'

/** What is saved, and where. */
export interface SavedKind<Item> {
  readonly folder: string
  readonly file: string
  readonly log: EventLog
  /** True for what may be kept: what a torn file may hold is data from outside. */
  isItem (one: unknown): one is Item
}

export class SavedList<Item> {
  #kind: SavedKind<Item>
  #wanted: readonly Item[] | null = null
  #isBusy = false

  constructor (kind: SavedKind<Item>) {
    this.#kind = kind
  }

  /** What was saved last; nothing where it can't be read, and of a file that holds more than items, those alone. */
  async load (): Promise<Item[]> {
    const { folder, file, log, isItem } = this.#kind
    try {
      const items = JSON.parse(await readFile(join(folder, file), 'utf8')) as unknown[]
      return items.filter(isItem)
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'ENOENT') log.warn('list-not-read', { file, error: (error as Error).message })
      return []
    }
  }

  /** Saves the items; while that goes on, the newest list waits. A disk that refuses costs a log line alone. */
  async save (items: readonly Item[]): Promise<void> {
    this.#wanted = items.filter(this.#kind.isItem)
    if (this.#isBusy) return
    this.#isBusy = true
    while (this.#wanted !== null) {
      const text = JSON.stringify(this.#wanted)
      this.#wanted = null
      await this.#write(text).catch((error: Error) => this.#kind.log.warn('list-not-saved', { file: this.#kind.file, error: error.message }))
    }
    this.#isBusy = false
  }

  async #write (text: string): Promise<void> {
    const { folder, file } = this.#kind
    await mkdir(folder, { recursive: true })
    const path = join(folder, file)
    await writeFile(`${path}.new`, text, { flush: true })
    await rename(`${path}.new`, path)
  }
}
