/** Tells gateways of the document in force, and whether it is the newest that was accepted. */
import type { VersionedText } from '../coordination/index.js'
import type { PackedDocument, RouteMessage } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import { RecentDocuments } from './recent-documents.js'

/** What the announcer needs of its box. */
export interface AnnouncerHost {
  readonly log: EventLog
  readonly metrics: Metrics
  /** The newest document that is applied here. */
  findNewest (): VersionedText | null
  /** True where nothing newer was accepted, but for what is on its way. */
  isCurrent (): boolean
  broadcastToGateways (message: RouteMessage): void
}

export class DocumentAnnouncer {
  #host: AnnouncerHost
  #recent = new RecentDocuments()
  /** Gateways were told that the document is the newest, under the present leader. */
  #hasAnnouncedCurrent = false

  constructor (host: AnnouncerHost) {
    this.#host = host
  }

  get newest (): VersionedText | null { return this.#recent.newest }

  /** The document in force for one who has the version `held`, 0 for none; null where there is no newer one. */
  pack (heldVersion: number): PackedDocument | null { return this.#recent.pack(heldVersion) }

  /** Takes word that another leads, or none. */
  noteRole (): void { this.#hasAnnouncedCurrent = false }

  /** Looks at what is applied, and tells what is news of it. */
  announceChanges (): void {
    const newest = this.#host.findNewest()
    const isNew = newest !== null && this.#recent.add(newest)
    if (isNew) {
      this.#host.log.info('document-in-force', { version: newest.version, bytes: newest.text.length })
      this.#host.metrics.gauge('document-version', newest.version)
    }
    const isCurrent = this.#host.isCurrent()
    // A gateway that has just started waits for a registry that is sure.
    if (isNew || (isCurrent && !this.#hasAnnouncedCurrent)) this.#host.broadcastToGateways(this.composeVersion())
    this.#hasAnnouncedCurrent = isCurrent
  }

  composeVersion (): RouteMessage {
    return { type: 'version', version: this.newest?.version ?? 0, isCurrent: this.#host.isCurrent() }
  }
}
