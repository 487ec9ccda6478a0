/**
 * Messages over the links among registries, and between gateways and registries.
 */
import type { RaftMessage, ReplicaId, UsageUpdate, VersionedText } from '../coordination/index.js'
import type { BoxId, ClosedEndpoint, CrashUpdate, EndpointId, EndpointNotice, EndpointRecord, PermitGrant, PermitDemand, PromptReport, ServiceName, SlotGrant, SlotReport, StreamKey, StreamOrigin, ZoneName } from '../core/index.js'
import type { PackedDocument } from './packed-document.js'

/** Result of a document that a registry forwarded to the leader; `held`: the leader already has it or a newer one; `unknown`: it may or may not be in force. */
export type PutOutcome = 'taken' | 'held' | 'unknown'

/** A gateway that forwards requests for others, and where it listens for them. */
export interface RelayAddress {
  readonly box: BoxId
  readonly zone: ZoneName
  readonly host: string
  readonly port: number
}

/** Streams that began at the same service and software version. */
export interface StreamOriginReport extends StreamOrigin {
  readonly keys: readonly StreamKey[]
}

/** One message on a link. */
export type RouteMessage =
  | { readonly type: 'raft', readonly from: ReplicaId, readonly to: ReplicaId, readonly message: RaftMessage }
  /** Identifies a registry; repeated periodically as a keep-alive. `later`: whether it was started to join a running log; earlier builds don't say it. */
  | { readonly type: 'registry-hello', readonly replica: ReplicaId, readonly zone: string, readonly later?: boolean, readonly registries: readonly string[] }
  /** Identifies a gateway; `version`: of its document in force; `relay`: where it forwards requests for others, null or missing while it doesn't; `lost`: services to which its paths are lost. */
  | { readonly type: 'gateway-hello', readonly gateway: BoxId, readonly version: number, readonly relay?: RelayAddress | null, readonly lost?: readonly ServiceName[] }
  /** Requests relays for a gateway in a zone. */
  | { readonly type: 'ask-relays', readonly zone: ZoneName }
  /** Some of the available relays. */
  | { readonly type: 'relays', readonly relays: readonly RelayAddress[] }
  /** Forwards a document to the leader. */
  | { readonly type: 'put', readonly call: number, readonly document: VersionedText }
  | { readonly type: 'put-end', readonly call: number, readonly end: PutOutcome | 'not-leader' }
  /** Reads the document at the leader; `version`: of the sender's document, so that only a newer one is returned. */
  | { readonly type: 'read', readonly call: number, readonly version: number }
  /** `sure` is false where the replica can't guarantee that it has the newest document; `document` is null where the reader already has it. */
  | { readonly type: 'read-end', readonly call: number, readonly document: VersionedText | null, readonly sure: boolean }
  /** Announces the version in force; the document is sent on request. `isCurrent`: it is the newest accepted one, apart from any still being replicated. */
  | { readonly type: 'version', readonly version: number, readonly isCurrent: boolean }
  /** Requests the newest document; `held`: the version to diff against, 0 for the complete text. */
  | { readonly type: 'ask-document', readonly held: number }
  | { readonly type: 'document', readonly document: PackedDocument }
  /**
   * Endpoint records; `whole`: they are all that the sender has. Only then: `versions` that endpoints have ever named, and
   * `isComplete`, true if no stream that its caller may still take up began at another one; missing from earlier builds.
   */
  | { readonly type: 'endpoints', readonly records: readonly EndpointRecord[], readonly whole: boolean, readonly versions?: readonly StreamOrigin[], readonly isComplete?: boolean }
  /** Requests the prompts cached by engines, sent by a box that has just started. */
  | { readonly type: 'ask-prompts' }
  /** All prompts that some engines have cached, as far as the sender knows. */
  | { readonly type: 'prompts', readonly prompts: readonly PromptReport[] }
  /** Crashes of endpoints and quarantined requests: only changes, or all of them for a box that may have no data. */
  | { readonly type: 'crashes', readonly news: CrashUpdate }
  /** Endpoints that sent a record recently, with the sequence number of the latest one. */
  | { readonly type: 'heard', readonly words: readonly (readonly [EndpointId, number])[] }
  /** Counts of started requests: a gateway sends its own, a registry forwards those that it received. */
  | { readonly type: 'usage', readonly tellings: readonly UsageUpdate[] }
  /** Endpoint notices for a gateway that starts, so that it has them before it sends any request. */
  | { readonly type: 'notices', readonly notices: readonly EndpointNotice[] }
  /** Requests permits to send to a rate-limited endpoint; `notice`: the latest one that the sender knows. */
  | { readonly type: 'ask-permits', readonly call: number, readonly notice: EndpointNotice, readonly wants: PermitDemand }
  /** `closed`: other endpoints that have no permits left either. */
  | { readonly type: 'permits', readonly call: number, readonly grants: readonly PermitGrant[], readonly closed: readonly ClosedEndpoint[] }
  /** The requested registry does not issue permits; `leader`: host of the one that does, null if unknown. */
  | { readonly type: 'permits-elsewhere', readonly call: number, readonly leader: string | null }
  /** A gateway's requests for slots of a service's brittle endpoints, and those that it uses, as absolute numbers. */
  | { readonly type: 'slot-report', readonly service: ServiceName, readonly zone: ZoneName, readonly report: SlotReport }
  /** Slots granted to the gateway; empty as an acknowledgement of a report. */
  | { readonly type: 'slots', readonly service: ServiceName, readonly grants: readonly SlotGrant[] }
  /** The requested registry does not give out slots; `leader`: host of the one that does, null if unknown. */
  | { readonly type: 'slots-elsewhere', readonly service: ServiceName, readonly leader: string | null }
  /** Origins of streams whose first event was relayed, or that still go on, by key. */
  | { readonly type: 'stream-origins', readonly origins: readonly StreamOriginReport[] }
  /** Asks for the origin of a stream. */
  | { readonly type: 'find-stream', readonly call: number, readonly key: StreamKey }
  /** `origin`: null if the registry doesn't know it. */
  | { readonly type: 'stream-found', readonly call: number, readonly origin: StreamOrigin | null }
  /** The registries known to the sender, and the number of gateways connected to it. */
  | { readonly type: 'boxes', readonly registries: readonly string[], readonly gateways: number }
