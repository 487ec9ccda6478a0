/** The state that a registry saves besides its log: the endpoint directory, the prompts cached by engines, and requests in quarantine. */
import { join } from 'node:path'
import type { EndpointRecord, PromptIndex, QuarantineEntry, PromptReport } from '../core/index.js'
import type { EventLog } from '../runtime/index.js'
import { isSavedEntry, isSavedPrompt, isSavedRecord } from './saved-item-guards.js'
import { SavedList } from './saved-list.js'

/** Subfolder of the log's folder for data that may be lost. */
const folderName = 'directory'

export class SavedState {
  #records: SavedList<EndpointRecord>
  #prompts: SavedList<PromptReport>
  #quarantine: SavedList<QuarantineEntry>
  /** The version of the prompts that was saved last. */
  #savedPromptsVersion = 0

  /** `data`: the folder of the log. */
  constructor (data: string, log: EventLog) {
    const folder = join(data, folderName)
    this.#records = new SavedList({ folder, file: 'endpoints.json', log, isItem: isSavedRecord })
    this.#prompts = new SavedList({ folder, file: 'prompts.json', log, isItem: isSavedPrompt })
    this.#quarantine = new SavedList({ folder, file: 'quarantine.json', log, isItem: isSavedEntry })
  }

  async loadRecords (): Promise<EndpointRecord[]> { return await this.#records.load() }

  /** Saves the endpoints that are ready or draining. */
  saveRecords (records: readonly EndpointRecord[]): void { void this.#records.save(records) }

  async loadQuarantine (): Promise<QuarantineEntry[]> { return await this.#quarantine.load() }

  saveQuarantine (entries: readonly QuarantineEntry[]): void { void this.#quarantine.save(entries) }

  /** Adds the saved prompts to the index. */
  async loadPrompts (index: PromptIndex): Promise<void> {
    index.note(await this.#prompts.load())
    this.#savedPromptsVersion = index.version
  }

  /** Saves the prompts where they have changed. */
  savePrompts ({ version, prompts }: PromptIndex): void {
    if (version === this.#savedPromptsVersion) return
    this.#savedPromptsVersion = version
    void this.#prompts.save(prompts)
  }
}
