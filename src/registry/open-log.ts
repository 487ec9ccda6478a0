import type { RegistrySettings } from '../config/index.js'
import { KeeperLog } from '../coordination/index.js'
import type { Members, ReplicaId } from '../coordination/index.js'
import type { EventLog } from '../runtime/index.js'

/** Delay before a failed disk operation is retried, ms. */
const diskRetryMs = 150
/** The disk part of the ids of the replicas that form a new log. */
const initialDiskId = 'first'

/** What the log needs of its box, besides the settings. */
type KeeperLogHost = Omit<Parameters<typeof KeeperLog.open>[1], 'timing' | 'snapshotEvery'>

/** Opens a registry's log, retrying until the disk succeeds. `isSeed`: whether the registry may be among the replicas that form a new log. */
export async function openRegistryLog (settings: RegistrySettings, isSeed: boolean, log: EventLog, box: KeeperLogHost): Promise<KeeperLog> {
  const { data, host, first, heartbeatMs, electionMs, snapshotEvery } = settings
  const diskRetry = {
    retryMs: diskRetryMs,
    noteFault: (error: Error) => log.error('disk-refuses', { error: error.message }),
    noteRecovered: () => log.info('disk-writes-again')
  }
  const storage = { folder: data, name: host, diskRetry, ...(first && isSeed ? { idSuffix: initialDiskId } : {}) }
  for (;;) {
    try {
      return await KeeperLog.open(storage, { ...box, timing: { heartbeatMs, electionMs }, snapshotEvery })
    } catch (error) {
      log.error('disk-not-opened', { error: (error as Error).message })
      await new Promise(resolve => setTimeout(resolve, diskRetryMs))
    }
  }
}

/**
 * Starts the replica. On the first start, all seeds form the same log without
 * communicating; any other replica with an empty disk waits to be added as a member.
 */
export async function startLog (keeper: KeeperLog, seeds: readonly string[], isFirst: boolean, log: EventLog): Promise<void> {
  const voters = seeds.map(host => `${host}#${initialDiskId}` as ReplicaId).sort()
  const members: Members = { voters, learners: [] }
  if (isFirst && await keeper.form(members)) log.info('log-formed', { voters: voters.join(',') })
  keeper.startReplica()
}
