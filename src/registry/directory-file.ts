/**
 * The directory of endpoints on a registry's disk, so that a registry that
 * starts knows at once where endpoints were. It may be old, torn or missing:
 * endpoints say where they are themselves, a second or so later.
 */
import { mkdir, readFile, rename, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import type { EndpointRecord } from '../core/index.js'
import type { EventLog } from '../runtime/index.js'

const fileName = 'endpoints.json'

export class DirectoryFile {
  #folder: string
  #log: EventLog
  #wanted: readonly EndpointRecord[] | null = null
  #isBusy = false

  constructor (folder: string, log: EventLog) {
    this.#folder = folder
    this.#log = log
  }

  /** What was saved last; nothing where it can't be read, and of a file that holds more than records, those alone. */
  async load (): Promise<EndpointRecord[]> {
    try {
      const records = JSON.parse(await readFile(join(this.#folder, fileName), 'utf8')) as EndpointRecord[]
      return records.filter(isRecord)
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'ENOENT') this.#log.warn('directory-not-read', { error: (error as Error).message })
      return []
    }
  }

  /** Saves the endpoints that are there; while that goes on, the newest wait. A disk that refuses costs a log line alone. */
  async save (records: readonly EndpointRecord[]): Promise<void> {
    this.#wanted = records.filter(isRecord)
    if (this.#isBusy) return
    this.#isBusy = true
    while (this.#wanted !== null) {
      const text = JSON.stringify(this.#wanted)
      this.#wanted = null
      await this.#write(text).catch((error: Error) => this.#log.warn('directory-not-saved', { error: error.message }))
    }
    this.#isBusy = false
  }

  async #write (text: string): Promise<void> {
    await mkdir(this.#folder, { recursive: true })
    const path = join(this.#folder, fileName)
    await writeFile(`${path}.new`, text, { flush: true })
    await rename(`${path}.new`, path)
  }
}

// Endpoints that are gone are left out; what a torn file may hold is data from outside.
function isRecord (one: Partial<EndpointRecord> | null): one is EndpointRecord {
  if (one === null || typeof one !== 'object') return false
  const { id, service, host, zone, port, slots, sequence, stage } = one
  const hasTexts = [id, service, host, zone].every(text => typeof text === 'string')
  const hasNumbers = [port, slots, sequence].every(number => Number.isInteger(number))
  return hasTexts && hasNumbers && (stage === 'ready' || stage === 'draining')
}
