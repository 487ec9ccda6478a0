/** The links of a registry to gateways and to other registries. */
import type { RegistrySettings } from '../config/index.js'
import { LinkPool } from '../protocol/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'
import type { PartDependencies } from './registry-dependencies.js'

/** Heartbeats of links, ms: one eighth of the silence after which a box counts as unreachable under user workloads. */
const heartbeat = { intervalMs: 400, timeoutMs: 1500 }
const dialTimings = { connectMs: 500, maxRetryMs: 500 }

/** Handlers of the events of links. */
export interface LinkHandlers {
  receive (link: Link<RouteMessage>, message: RouteMessage): void
  noteOpen (link: Link<RouteMessage>): void
  noteClosed (link: Link<RouteMessage>): void
}

export function createLinks ({ id }: RegistrySettings, { log, secret, intake: { memory } }: PartDependencies, handlers: LinkHandlers): LinkPool<RouteMessage> {
  return new LinkPool<RouteMessage>({
    ...handlers,
    id,
    secret,
    heartbeat,
    clock: log.clock,
    memory,
    noteFault: (fault, peer) => log.warn('link-fault', { fault, peer })
  }, dialTimings)
}
