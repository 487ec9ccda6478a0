/** Messages that entry boxes, keepers and operators' clients exchange over links. */
import type { Change, CommandId, Document, KeeperCommand, KeeperResult, Members, RaftMessage, ReplicaId, Revision } from '../coordination/index.js'
import type { RequestId, ShardReply, ShardId, ShardMessage, WorkspaceName } from '../core/index.js'
import type { PackedLoad } from './packed-load.js'
import type { BoxStatus, KeeperStatus } from './status.js'

/** A request to a keeper. */
export type KeeperCall =
  | { readonly type: 'command', readonly command: KeeperCommand }
  /** Plans an intent: the leader computes the changes against the configuration in force. */
  | { readonly type: 'plan', readonly id: CommandId, readonly intent: string }
  | { readonly type: 'repair', readonly replace: string, readonly id: CommandId }
  | { readonly type: 'document' }
  | { readonly type: 'status' }

/** A keeper's response to a `KeeperCall`. */
export type KeeperReply =
  | { readonly type: 'result', readonly result: KeeperResult }
  /** The request must go to `leader`; null where no leader is known. */
  | { readonly type: 'redirect', readonly leader: string | null }
  /** It is unknown whether the command was applied; it should be sent again. */
  | { readonly type: 'lost' }
  | { readonly type: 'mistakes', readonly mistakes: readonly string[] }
  | { readonly type: 'document', readonly document: Document, readonly revision: number }
  | { readonly type: 'status', readonly status: KeeperStatus }
  | { readonly type: 'repaired', readonly members: Members }
  | { readonly type: 'fault', readonly text: string }

/** One message on a link. */
export type BoxMessage =
  | { readonly type: 'raft', readonly from: ReplicaId, readonly to: ReplicaId, readonly message: RaftMessage }
  | { readonly type: 'keeper-hello', readonly name: string, readonly replica: ReplicaId, readonly formed: Members | null }
  | { readonly type: 'form', readonly members: Members }
  | { readonly type: 'call', readonly call: number, readonly body: KeeperCall }
  | { readonly type: 'reply', readonly call: number, readonly body: KeeperReply }
  /** Subscribes to the revisions after `revision`. `status` is set only in the periodic message to one of the keepers. */
  | { readonly type: 'watch', readonly revision: number, readonly status: BoxStatus | null }
  | { readonly type: 'revisions', readonly revisions: readonly Revision[] }
  | { readonly type: 'whole', readonly document: Document, readonly revision: number }
  | { readonly type: 'ask-config', readonly revision: number }
  | { readonly type: 'shard-word', readonly shard: ShardId, readonly word: ShardMessage }
  | { readonly type: 'shard-answer', readonly shard: ShardId, readonly answer: ShardReply }
  | { readonly type: 'not-owner', readonly shard: ShardId, readonly request: RequestId, readonly attempt: number }
  /** Loads of the shards that a box owns, sent often. `demands` of its active workspaces come less often; null in between. */
  | { readonly type: 'loads', readonly loads: readonly PackedLoad[], readonly demands: readonly (readonly [WorkspaceName, number])[] | null }

export type { Change }
