import type { VersionedText } from '../coordination/index.js'
import type { RoutedService } from '../core/index.js'
import type { Dialect } from '../protocol/index.js'

/** The services of the active document, decoded lazily and once per version. */
export class ActiveServices {
  #dialect: Dialect
  #findNewest: () => VersionedText | null
  #version = 0
  #services: readonly RoutedService[] = []

  constructor (dialect: Dialect, findNewest: () => VersionedText | null) {
    this.#dialect = dialect
    this.#findNewest = findNewest
  }

  /** Empty before the first document. */
  list (): readonly RoutedService[] {
    const newest = this.#findNewest()
    if (newest !== null && newest.version !== this.#version) {
      this.#services = this.#dialect.decodeDocument(newest.text).services
      this.#version = newest.version
    }
    return this.#services
  }
}
