import type { Document, Revision } from '../coordination/index.js'
import type { BoxMessage, Link } from '../protocol/index.js'

/** A source of the configuration: a keeper's ledger or a box's copy. */
export interface ConfigSource {
  readonly document: Document
  readonly revision: number
  /** The revisions after `revision`; null if they are no longer all available, so that the full document must be sent. */
  findSince (revision: number): readonly Revision[] | null
}

/** Sends the updates after `revision` to the peer that has it; sends nothing if the peer is up to date. */
export function sendConfigUpdate (link: Link<BoxMessage>, source: ConfigSource, revision: number): void {
  if (revision >= source.revision) return
  const revisions = source.findSince(revision)
  if (revisions !== null) link.send({ type: 'revisions', revisions })
  else link.send({ type: 'whole', document: source.document, revision: source.revision })
}
