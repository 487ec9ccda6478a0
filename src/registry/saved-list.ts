/**
 * A list on a registry's disk that need not last, so that a registry that starts
 * knows at once what it knew. It may be old, torn or missing: the boxes say it anew.
 */
import { mkdir, readFile, rename, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import type { EventLog } from '../runtime/index.js'

/** What is saved, and where. */
export interface SavedListOptions<Item> {
  readonly folder: string
  readonly file: string
  readonly log: EventLog
  /** True for what may be kept: what a torn file may hold is data from outside. */
  isItem (value: unknown): value is Item
}

export class SavedList<Item> {
  #options: SavedListOptions<Item>
  #pendingItems: readonly Item[] | null = null
  #isWriting = false

  constructor (options: SavedListOptions<Item>) {
    this.#options = options
  }

  /** What was saved last; nothing where it can't be read, and of a file that holds more than items, those alone. */
  async load (): Promise<Item[]> {
    const { folder, file, log, isItem } = this.#options
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
    this.#pendingItems = items.filter(this.#options.isItem)
    if (this.#isWriting) return
    this.#isWriting = true
    while (this.#pendingItems !== null) {
      const text = JSON.stringify(this.#pendingItems)
      this.#pendingItems = null
      await this.#write(text).catch((error: Error) => this.#options.log.warn('list-not-saved', { file: this.#options.file, error: error.message }))
    }
    this.#isWriting = false
  }

  async #write (text: string): Promise<void> {
    const { folder, file } = this.#options
    await mkdir(folder, { recursive: true })
    const path = join(folder, file)
    await writeFile(`${path}.new`, text, { flush: true })
    await rename(`${path}.new`, path)
  }
}
