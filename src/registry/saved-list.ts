/**
 * A list cached on a registry's disk, so that a restarted registry has its state at
 * once. The file may be stale, truncated or missing, as the boxes resend the data.
 */
import { mkdir, readFile, rename, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import type { EventLog } from '../runtime/index.js'

/** The location of a list and the type of its items. */
export interface SavedListOptions<Item> {
  readonly folder: string
  readonly file: string
  readonly log: EventLog
  /** Validates an item: the content of a truncated file is untrusted. */
  isItem (value: unknown): value is Item
}

export class SavedList<Item> {
  #options: SavedListOptions<Item>
  #pendingItems: readonly Item[] | null = null
  #isWriting = false

  constructor (options: SavedListOptions<Item>) {
    this.#options = options
  }

  /** The items saved last; empty where the file can't be read. Invalid items are skipped. */
  async load (): Promise<Item[]> {
    const { folder, file, log, isItem } = this.#options
    try {
      const items = JSON.parse(await readFile(join(folder, file), 'utf8')) as unknown[]
      const valid = items.filter(isItem)
      if (valid.length < items.length) log.warn('saved-items-dropped', { file, dropped: items.length - valid.length, kept: valid.length })
      return valid
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'ENOENT') log.warn('list-not-read', { file, error: (error as Error).message })
      return []
    }
  }

  /** Saves the items; while a write is in progress, only the newest list is queued. A failed write is only logged. */
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
