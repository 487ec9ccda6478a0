import type { Document, Revision } from '../coordination/index.js'
import type { BoxMessage, Link } from '../protocol/index.js'

/** Whoever holds the configuration: a keeper's ledger, or a box's copy. */
export interface ConfigHolder {
  readonly document: Document
  readonly revision: number
  /** What one with `revision` lacks; null where only the whole will do. */
  findSince (revision: number): readonly Revision[] | null
}

/** Gives the other side of a link, which holds `revision`, what it lacks; nothing where it lacks nothing. */
export function sendNews (link: Link<BoxMessage>, holder: ConfigHolder, revision: number): void {
  if (revision >= holder.revision) return
  const since = holder.findSince(revision)
  if (since !== null) link.send({ type: 'revisions', revisions: since })
  else link.send({ type: 'whole', document: holder.document, revision: holder.revision })
}
