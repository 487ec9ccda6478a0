/** Connects the server for operators and endpoints with the parts of a registry. */
import type { RegistrySettings } from '../config/index.js'
import type { KeeperLog } from '../coordination/index.js'
import type { ConnectedGateways } from './connected-gateways.js'
import type { CrashReplicator } from './crash-replicator.js'
import type { EndpointTracker } from './endpoint-tracker.js'
import type { LeaderClient } from './leader-client.js'
import type { LoadHub } from './load-hub.js'
import { OperatorServer } from './operator-server.js'
import type { PartDependencies } from './registry-dependencies.js'

/** The parts of a registry that calls read and change. */
export interface OperatorParts {
  readonly endpoints: EndpointTracker
  readonly crashes: CrashReplicator
  readonly loadHub: LoadHub
  readonly gateways: ConnectedGateways
  /** Throws before the box has started. */
  getStarted (): { readonly log: KeeperLog, readonly leaderClient: LeaderClient }
}

export function createOperatorServer ({ endpoints, crashes, loadHub, gateways, getStarted }: OperatorParts, dependencies: PartDependencies, settings: RegistrySettings): OperatorServer {
  return new OperatorServer({
    ...dependencies,
    put: document => getStarted().leaderClient.put(document),
    read: () => getStarted().leaderClient.read(),
    registerEndpoint: record => endpoints.register(record),
    listQuarantine: () => crashes.state.entries,
    liftQuarantine: fingerprint => crashes.lift(fingerprint),
    listNotices: () => loadHub.listNotices(),
    listLostPaths: () => gateways.listLost(),
    listUsage: () => getStarted().log.state.usage.windows,
    noteCall: (call, status, ms) => dependencies.metrics.time('registry-call', ms, { call, status: String(status) })
  }, settings)
}
