import { originRetentionMs } from './origin-table.js'
import type { StreamOrigin } from './origin-table.js'
import type { SeenVersions } from './seen-versions.js'

/**
 * Whether a box knows all software versions at which streams may have begun that can still be taken up: it has run for as
 * long as origins are kept, nothing served before it, or another box that knows them has told it.
 */
export class VersionCoverage {
  #versions: SeenVersions
  #now: () => number
  #completeAt: number

  /** `now`: monotonic time, ms; `isFirst`: nothing served before this box. */
  constructor (versions: SeenVersions, now: () => number, isFirst: boolean) {
    this.#versions = versions
    this.#now = now
    this.#completeAt = isFirst ? -Infinity : now() + originRetentionMs
  }

  get isComplete (): boolean { return this.#now() >= this.#completeAt }

  /** Notes all versions that another box has seen. */
  note (versions: readonly StreamOrigin[], isComplete: boolean): void {
    for (const version of versions) this.#versions.note(version)
    if (isComplete) this.#completeAt = Math.min(this.#completeAt, this.#now())
  }
}
