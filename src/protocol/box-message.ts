/** Everything that boxes and operators' shells say to each other over links. */
import type { Change, CommandId, Document, KeeperCommand, KeeperResult, Members, RaftMessage, ReplicaId, Revision } from '../coordination/index.js'
import type { RequestId, ShardAnswer, ShardId, ShardWord, WorkspaceName } from '../core/index.js'
import type { PackedLoad } from './packed-load.js'
import type { BoxStatus, KeeperStatus } from './status.js'

/** What a keeper is asked. */
export type KeeperCall =
  | { readonly type: 'command', readonly command: KeeperCommand }
  /** Plans an intent: the leader works out the changes against what is in force. */
  | { readonly type: 'plan', readonly id: CommandId, readonly intent: string }
  | { readonly type: 'repair', readonly replace: string, readonly id: CommandId }
  | { readonly type: 'document' }
  | { readonly type: 'status' }

/** What a keeper answers. */
export type KeeperReply =
  | { readonly type: 'result', readonly result: KeeperResult }
  /** Ask there; null where no leader is known. */
  | { readonly type: 'redirect', readonly leader: string | null }
  /** Whether the command was carried out is not known; resend it. */
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
  /** A box has `revision` and wants what comes after; its whole status goes to one keeper now and then. */
  | { readonly type: 'watch', readonly revision: number, readonly status: BoxStatus | null }
  | { readonly type: 'revisions', readonly revisions: readonly Revision[] }
  | { readonly type: 'whole', readonly document: Document, readonly revision: number }
  | { readonly type: 'ask-config', readonly revision: number }
  | { readonly type: 'shard-word', readonly shard: ShardId, readonly word: ShardWord }
  | { readonly type: 'shard-answer', readonly shard: ShardId, readonly answer: ShardAnswer }
  | { readonly type: 'not-owner', readonly shard: ShardId, readonly request: RequestId, readonly attempt: number }
  /** The shards that a box owns, told often; and the demand of its active workspaces, told now and then, else null. */
  | { readonly type: 'loads', readonly loads: readonly PackedLoad[], readonly demands: readonly (readonly [WorkspaceName, number])[] | null }

export type { Change }
