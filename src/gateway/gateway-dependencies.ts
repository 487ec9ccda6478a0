import type { NetConnectOpts, Socket } from 'node:net'
import type { Dialect } from '../protocol/index.js'
import type { GatewaySettings } from '../config/index.js'
import { computeBudgetBytes } from '../core/index.js'
import { ClientIntake } from '../runtime/index.js'
import type { EventLog, IntakeTools, Metrics } from '../runtime/index.js'

/** Opens a TCP connection to an endpoint. */
export type Connector = (options: NetConnectOpts) => Socket

/** Dependencies of a gateway other than its settings. */
export interface GatewayDependencies {
  readonly dialect: Dialect
  readonly log: EventLog
  readonly metrics: Metrics
  /** That of the process; by default the box has one of its own. */
  readonly intake?: ClientIntake
  /** Shared secret of the links; null to run them without authentication. */
  readonly secret: string | null
  /** Opens the connections to endpoints; by default those of `node:net`. */
  readonly connect?: Connector
}

/** Dependencies of the parts of a gateway. */
export interface PartDependencies extends GatewayDependencies {
  readonly intake: ClientIntake
}

/** What the box has for its clients. */
export function createIntake ({ answers, box }: Pick<GatewaySettings, 'answers' | 'box'>, tools: IntakeTools): ClientIntake {
  return new ClientIntake(computeBudgetBytes(answers?.budgetMb ?? null, box?.memoryMb ?? null), tools)
}

/** Descriptors for everything but callers and their requests: connections and requests of relays, links, checks, files; at most half of all. */
const otherDescriptors = 1000

/** How many connections callers may have: each may need a second descriptor, towards an endpoint. */
export function limitConnections ({ maxConnections, box }: Pick<GatewaySettings, 'maxConnections' | 'box'>): number {
  const descriptors = box?.descriptors ?? null
  if (descriptors === null) return maxConnections
  return Math.min(maxConnections, Math.floor((descriptors - Math.min(otherDescriptors, descriptors / 2)) / 2))
}
