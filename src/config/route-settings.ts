/** Settings of gateways and registries, the programs that route by a document. */
import { describeHost, describeName, describePort, describeText, describeInteger } from './field.js'
import type { Field, FieldTable } from './field.js'
import type { ContentionMode } from '../core/index.js'
import type { Address } from './settings.js'

const addressPattern = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/

const describeHostPort = (about: string, fallback?: string): Field => ({
  type: 'text',
  about,
  pattern: addressPattern,
  allowed: 'an IP address and a port, for example 10.0.0.1:8080',
  ...(fallback === undefined ? {} : { fallback })
})

const describeInt = describeInteger

const shared: FieldTable = {
  id: describeName('Name of this box, unique among all boxes.'),
  zone: describeName('Availability zone of this box.'),
  host: describeHost('IP address at which other boxes reach this one.'),
  linkPort: describePort('TCP port of the links between boxes; must be the same on all boxes.'),
  loadPort: describePort('UDP port on which registries, as hubs, receive load reports, and to which gateways send them; must be the same on all boxes.'),
  seeds: { type: 'list', minItems: 0, of: describeHostPort('A registry.'), about: 'Operator addresses (`listen`) of some registries, through which the others are discovered; links connect to the same hosts at `linkPort`.' },
  secretFile: describeText('File with the shared secret of all boxes, at least 16 characters; empty for none.', ''),
  openLinks: { type: 'switch', about: 'Whether links may run without authentication if there is no secret. Only for a network that nobody else can reach.', fallback: false },
  metricsPort: describePort('HTTP port for metrics in the Prometheus text format; 0 for none.', 0),
  logLinesPerSecond: describeInt('Maximum log lines per second; beyond it, `info` lines are suppressed first.', 'lines/s', 10, 100_000, 150),
  statsd: { type: 'table', about: 'Server for StatsD metrics.', fallback: null, fields: { host: describeHost('IP address.'), port: describePort('UDP port.', 8125) } }
}

const contentionFields: FieldTable = {
  features: { type: 'list', minItems: 0, of: describeText('A feature.'), about: 'Names by which the platform marks this deployment; the dialect knows their meaning, and ignores unknown ones.', fallback: [] },
  contention: {
    type: 'table',
    about: 'Measures for deployments whose callers compete for too little capacity, or whose demand and servers are uneven.',
    fallback: { mode: 'off' },
    fields: {
      mode: { type: 'choice', of: ['off', 'on', 'auto'], about: '`auto` turns the measures on if a feature marks the deployment, or once boxes of different CPU share are known.', fallback: 'off' }
    }
  }
}

/** Settings of `wrenlane-gateway`. */
export const gatewayFields: FieldTable = {
  ...shared,
  listen: describeHostPort('Address for connections from callers.'),
  ready: describeHostPort('Address for readiness checks of the load balancer.'),
  relayPort: describePort('TCP port on which this box forwards requests of other gateways that have lost their own paths to endpoints; 0 if it neither does so nor uses others; it then refuses all requests to endpoints whose paths it has lost.', 0),
  retries: {
    type: 'table',
    about: 'Retry budget of each service over all gateways.',
    fields: {
      ratio: { type: 'number', about: 'Retries per request.', min: 0, max: 10, isInteger: false, unit: 'retries', fallback: 0.1 },
      extra: { type: 'number', about: 'Further retries in each window.', min: 0, max: 1_000_000, isInteger: false, unit: 'retries', fallback: 20 },
      windowSeconds: { type: 'number', about: 'Length of the sliding window.', min: 0.1, max: 600, isInteger: false, unit: 's', fallback: 10 }
    }
  },
  usageWindowSeconds: { type: 'number', about: 'Length of the windows in which started requests are counted per workspace; must be the same on all boxes; 0 disables counting.', min: 0, max: 3600, isInteger: false, unit: 's', fallback: 0 },
  drainSeconds: { type: 'number', about: 'Longest time that a planned stop waits for requests in flight.', min: 0, max: 86_400, isInteger: false, unit: 's', fallback: 30 },
  maxConnections: describeInt('Maximum number of concurrent connections from callers. Beyond it, one without a complete request is closed for a new one.', 'connections', 1, 100_000, 2000),
  features: contentionFields.features,
  box: {
    type: 'table',
    about: 'Resources of this box.',
    fallback: null,
    fields: {
      cpuShare: { type: 'number', about: 'CPU share.', min: 0.01, max: 1024, isInteger: false, unit: 'cores' },
      memoryMb: describeInt('Memory limit of the process.', 'MB', 32, 1_048_576),
      linkMbps: { type: 'number', about: 'Bandwidth of the network link.', min: 0.1, max: 1_000_000, isInteger: false, unit: 'Mbit/s' },
      descriptors: { ...describeInt('Limit on open descriptors of the process. Callers then have at most half as many connections as it leaves beside 1000, or half of all, for relays, links and files.', 'descriptors', 64, 10_000_000), fallback: null }
    }
  },
  answers: {
    type: 'table',
    about: 'What the box holds for its callers: bodies of requests that arrive, wait or run, and answers that were not read yet. Without this table a quarter of `box.memoryMb` is used for it, or 64 MB.',
    fallback: null,
    fields: {
      budgetMb: { ...describeInt('Memory for it. Above it, requests that are still arriving are refused, and the exchanges of callers that no longer read are ended; one body takes at most half of it. At most half of `box.memoryMb`.', 'MB', 1, 524_288), limitedBy: { key: 'box.memoryMb', share: 0.5 } }
    }
  },
  contention: contentionFields.contention
}

/** Settings of `wrenlane-registry`. */
export const registryFields: FieldTable = {
  ...shared,
  listen: describeHostPort('Address for calls of operators and endpoints.'),
  bind: describeText('IP address on which links are accepted, if it differs from the one at which other boxes reach this box (for example behind NAT); empty for `host`.', ''),
  data: describeText('Folder for persistent data.'),
  first: { type: 'switch', about: 'Whether the whole system starts for the first time: the seeds then create the log.', fallback: false },
  faults: describeInt('Number of boxes with a disk that may fail at the same time.', 'boxes', 0, 10, 1),
  heartbeatMs: describeInt('Interval between heartbeats of the leader.', 'ms', 10, 10_000, 70),
  electionMs: describeInt('Minimum time without a heartbeat before an election.', 'ms', 50, 60_000, 350),
  snapshotEvery: describeInt('Log entries between snapshots; fewer if they contain large documents.', 'entries', 10, 1_000_000, 100),
  duties: {
    type: 'table',
    about: 'Calls to the operator of the underlying platform, made by one registry at a time for all boxes; omit the table if there is no such operator.',
    fallback: null,
    fields: {
      address: describeHostPort('Address to which the calls are sent.'),
      leaseMs: describeInt('After another registry has taken over, the former one makes no calls for at least this time; a lease lasts 80% of it.', 'ms', 500, 600_000, 3000),
      usageWindowSeconds: { type: 'number', about: 'Length of the windows in which started requests are counted; must be the same as at gateways.', min: 1, max: 3600, isInteger: false, unit: 's', fallback: 5 },
      usageLateSeconds: { type: 'number', about: 'Deadline for reporting a window, after its end.', min: 1, max: 3600, isInteger: false, unit: 's', fallback: 10 }
    }
  },
  lostMs: describeInt('Time without a heartbeat after which an endpoint counts as lost.', 'ms', 1000, 24 * 3_600_000, 30_000),
  maxBodyBytes: describeInt('Maximum size of the body of a call; at most half of the memory for clients.', 'bytes', 1024, 256 * 2 ** 20, 16 * 2 ** 20),
  drainSeconds: { type: 'number', about: 'Longest time that a planned stop takes: calls that have been read are answered within it.', min: 0, max: 86_400, isInteger: false, unit: 's', fallback: 10 },
  maxConnections: describeInt('Maximum number of concurrent connections of operators and endpoints.', 'connections', 1, 100_000, 2000),
  memoryMb: { ...describeInt('Memory limit of the process. A quarter of it is used for what is held for clients, or 64 MB without this key.', 'MB', 32, 1_048_576), fallback: null },
  ...contentionFields
}

/** Settings common to gateways and registries. */
export interface RouteBoxSettings {
  readonly id: string
  readonly zone: string
  readonly host: string
  readonly linkPort: number
  readonly loadPort: number
  readonly seeds: readonly string[]
  readonly secretFile: string
  readonly openLinks: boolean
  readonly metricsPort: number
  readonly logLinesPerSecond: number
  readonly statsd: Address | null
}

export interface GatewaySettings extends RouteBoxSettings {
  readonly listen: string
  readonly ready: string
  readonly relayPort: number
  readonly retries: { readonly ratio: number, readonly extra: number, readonly windowSeconds: number }
  /** 0 disables usage counting. */
  readonly usageWindowSeconds: number
  readonly drainSeconds: number
  readonly maxConnections: number
  readonly features: readonly string[]
  /** Null if they are not configured. */
  readonly box: BoxResources | null
  /** Null for the default budget. */
  readonly answers: { readonly budgetMb: number } | null
  readonly contention: { readonly mode: ContentionMode }
}

/** Resources of a box. */
export interface BoxResources {
  /** Cores. */
  readonly cpuShare: number
  readonly memoryMb: number
  readonly linkMbps: number
  /** Null if it is not configured. */
  readonly descriptors?: number | null
}

/** Address and timing of the calls for duties. */
export interface DutySettings {
  readonly address: string
  readonly leaseMs: number
  readonly usageWindowSeconds: number
  readonly usageLateSeconds: number
}

export interface RegistrySettings extends RouteBoxSettings {
  readonly listen: string
  readonly bind: string
  readonly data: string
  readonly first: boolean
  readonly faults: number
  readonly heartbeatMs: number
  readonly electionMs: number
  readonly snapshotEvery: number
  /** Null if registries have no duties. */
  readonly duties: DutySettings | null
  readonly lostMs: number
  readonly maxBodyBytes: number
  readonly drainSeconds: number
  readonly maxConnections: number
  /** Null if it is not configured. */
  readonly memoryMb: number | null
  readonly features: readonly string[]
  readonly contention: { readonly mode: ContentionMode }
}

/** Parses "HOST:PORT". */
export function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}
