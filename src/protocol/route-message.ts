/**
 * What the boxes that route by a document say to each other over links:
 * registries among themselves, gateways with registries.
 */
import type { RaftMessage, ReplicaId, UsageTelling, VersionedText } from '../coordination/index.js'
import type { BoxId, ClosedEndpoint, CrashNews, EndpointId, EndpointNotice, EndpointRecord, PermitGrant, PermitWants, ReadPrompt } from '../core/index.js'
import type { PackedDocument } from './packed-document.js'

/** How a document that a registry passed to the leader ended; `unknown`: it may be in force or not. */
export type PutEnd = 'taken' | 'held' | 'unknown'

/** One message on a link. */
export type RouteMessage =
  | { readonly type: 'raft', readonly from: ReplicaId, readonly to: ReplicaId, readonly message: RaftMessage }
  /** A registry presents itself; told again and again as a sign of life. */
  | { readonly type: 'registry-hello', readonly replica: ReplicaId, readonly zone: string, readonly registries: readonly string[] }
  /** A gateway presents itself, with the version that it has in force. */
  | { readonly type: 'gateway-hello', readonly gateway: BoxId, readonly version: number }
  /** Passes a document, or the wish to read it, to the leader. */
  | { readonly type: 'put', readonly call: number, readonly document: VersionedText }
  | { readonly type: 'put-end', readonly call: number, readonly end: PutEnd | 'not-leader' }
  /** `version`: what the asking side has, so that only a newer document is sent back. */
  | { readonly type: 'read', readonly call: number, readonly version: number }
  /** `sure` is false where the asked one can't be sure of the newest; the document is null where the asking side has it. */
  | { readonly type: 'read-end', readonly call: number, readonly document: VersionedText | null, readonly sure: boolean }
  /** A document with this version is in force; it is sent when asked for. `isCurrent`: it is the newest that was accepted, but for what is on its way. */
  | { readonly type: 'version', readonly version: number, readonly isCurrent: boolean }
  /** Asks for the newest document; `held`: the version to tell it against, 0 where the whole is wanted. */
  | { readonly type: 'ask-document', readonly held: number }
  | { readonly type: 'document', readonly document: PackedDocument }
  /** Records of endpoints; `whole` where they are all that the sender has. */
  | { readonly type: 'endpoints', readonly records: readonly EndpointRecord[], readonly whole: boolean }
  /** Asks which prompts engines hold, for a box that starts anew. */
  | { readonly type: 'ask-prompts' }
  /** All that some engines hold, as far as the sender knows. */
  | { readonly type: 'prompts', readonly prompts: readonly ReadPrompt[] }
  /** Ends of endpoints, and requests in quarantine: what is news, or all of it to a box that may know nothing. */
  | { readonly type: 'crashes', readonly news: CrashNews }
  /** Endpoints that were heard from, with the sequence of the newest word. */
  | { readonly type: 'heard', readonly words: readonly (readonly [EndpointId, number])[] }
  /** Requests that began at boxes: from a gateway its own, from a registry what it was told. */
  | { readonly type: 'usage', readonly tellings: readonly UsageTelling[] }
  /** What endpoints say of themselves, for a gateway that starts: it is to know before it sends anything. */
  | { readonly type: 'notices', readonly notices: readonly EndpointNotice[] }
  /** Asks for permits to send to an endpoint that names a limit; `notice`: what the asking side knows of it. */
  | { readonly type: 'ask-permits', readonly call: number, readonly notice: EndpointNotice, readonly wants: PermitWants }
  /** `closed`: other endpoints that would give none either. */
  | { readonly type: 'permits', readonly call: number, readonly grants: readonly PermitGrant[], readonly closed: readonly ClosedEndpoint[] }
  /** The asked one doesn't give permits; `leader`: the host of the one that does, null where it isn't known. */
  | { readonly type: 'permits-elsewhere', readonly call: number, readonly leader: string | null }
  /** The registries that the sender knows, and how many gateways it is in touch with. */
  | { readonly type: 'boxes', readonly registries: readonly string[], readonly gateways: number }
