/** Announces the version of the active document to gateways, and whether it is the newest committed one. */
import type { VersionedText } from '../coordination/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import { RecentDocuments } from './recent-documents.js'

/** What the announcer needs of its box. */
export interface AnnouncerHost {
  readonly log: EventLog
  readonly metrics: Metrics
  /** The newest document that was applied here. */
  findNewest (): VersionedText | null
  /** True where everything committed before the current leader's term is applied here; later entries may be in transit. */
  isCurrent (): boolean
  broadcastToGateways (message: RouteMessage): void
}

export class DocumentAnnouncer {
  #host: AnnouncerHost
  #recent = new RecentDocuments()
  /** Whether gateways were told, under the current leader, that the document is the newest. */
  #hasAnnouncedCurrent = false

  constructor (host: AnnouncerHost) {
    this.#host = host
  }

  get newest (): VersionedText | null { return this.#recent.newest }

  /** Sends the active document to a gateway that has `heldVersion`, 0 for none; nothing where there is no newer one. */
  send (link: Link<RouteMessage>, heldVersion: number): void {
    const document = this.#recent.pack(heldVersion)
    if (document !== null) link.send({ type: 'document', document })
  }

  /** Called when the leader changes or is lost. */
  noteRole (): void { this.#hasAnnouncedCurrent = false }

  /** Announces the applied document where it is new, or newly confirmed as the newest. */
  announceChanges (): void {
    const newest = this.#host.findNewest()
    const isNew = newest !== null && this.#recent.add(newest)
    if (isNew) {
      this.#host.log.info('document-in-force', { version: newest.version, bytes: newest.text.length })
      this.#host.metrics.gauge('document-version', newest.version)
    }
    const isCurrent = this.#host.isCurrent()
    // A starting gateway waits for a registry that confirms the newest version.
    if (isNew || (isCurrent && !this.#hasAnnouncedCurrent)) this.#host.broadcastToGateways(this.composeVersion())
    this.#hasAnnouncedCurrent = isCurrent
  }

  composeVersion (): RouteMessage {
    return { type: 'version', version: this.newest?.version ?? 0, isCurrent: this.#host.isCurrent() }
  }
}
