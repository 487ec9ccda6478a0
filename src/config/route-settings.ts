/** Settings of the programs that route by a document: gateways and registries. */
import { describeHost, describeName, describePort, describeText, describeWhole } from './field.js'
import type { Field, FieldTable } from './field.js'
import type { Address } from './settings.js'

const addressPattern = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/

const hostPort = (about: string, fallback?: string): Field => ({
  type: 'text',
  about,
  pattern: addressPattern,
  allowed: 'an IP number and a port, as 10.0.0.1:8080',
  ...(fallback === undefined ? {} : { fallback })
})

const whole = describeWhole

const shared: FieldTable = {
  id: describeName('Name of this box, unique over all boxes.'),
  zone: describeName('Availability zone of this box.'),
  host: describeHost('IP number under which other boxes reach this one.'),
  linkPort: describePort('Port of the links between boxes, the same on all of them.'),
  loadPort: describePort('UDP port on which registries, as hubs, hear of loads: the same on all of them, and the one that gateways send to.'),
  seeds: { type: 'list', least: 0, of: hostPort('A registry.'), about: 'Addresses for operators of a few registries, to find the others by; links go to the same host at `linkPort`.' },
  secretFile: describeText('File with the secret that boxes share, at least 16 characters; empty for none.', ''),
  openLinks: { type: 'switch', about: 'Whether links go without authentication where there is no secret. Only for a network that nobody else can reach.', fallback: false },
  metricsPort: describePort('Port of the metrics in text form; 0 for none.', 0),
  logLinesPerSecond: whole('Most lines of log in a second; ordinary successes are left out first.', 'lines/s', 10, 100_000, 150),
  statsd: { type: 'table', about: 'Where StatsD metrics go.', fallback: null, fields: { host: describeHost('IP number.'), port: describePort('UDP port.', 8125) } }
}

/** Settings of `wrenlane-gateway`. */
export const gatewayFields: FieldTable = {
  ...shared,
  listen: hostPort('Where callers arrive.'),
  ready: hostPort('Where the balancer asks whether this box is ready.'),
  retries: {
    type: 'table',
    about: 'What all gateways together may send a second time, for each service.',
    fields: {
      ratio: { type: 'number', about: 'Second sends for each request.', least: 0, most: 10, whole: false, unit: 'sends', fallback: 0.1 },
      extra: { type: 'number', about: 'Second sends in each window beyond those.', least: 0, most: 1_000_000, whole: false, unit: 'sends', fallback: 20 },
      windowSeconds: { type: 'number', about: 'The window, which slides.', least: 0.1, most: 600, whole: false, unit: 's', fallback: 10 }
    }
  },
  usageWindowSeconds: { type: 'number', about: 'Length of the windows of time in which requests that began are counted for each workspace, the same at all boxes; 0 where they are not counted.', least: 0, most: 3600, whole: false, unit: 's', fallback: 0 },
  drainSeconds: { type: 'number', about: 'The longest that a planned stop waits for requests in flight.', least: 0, most: 86_400, whole: false, unit: 's', fallback: 30 },
  maxConnections: whole('Connections of callers at a time.', 'connections', 1, 100_000, 2000)
}

/** Settings of `wrenlane-registry`. */
export const registryFields: FieldTable = {
  ...shared,
  listen: hostPort('Where operators and endpoints call.'),
  bind: describeText('IP number on which links are accepted, where others reach this box by way of another one; empty for `host`.', ''),
  data: describeText('Folder for everything that must last.'),
  first: { type: 'switch', about: 'True only when the whole system starts for the first time: the seeds then begin the log.', fallback: false },
  faults: whole('Boxes with a disk that may be lost at once.', 'boxes', 0, 10, 1),
  heartbeatMs: whole('Time between heartbeats of the leader.', 'ms', 10, 10_000, 70),
  electionMs: whole('Shortest time without a heartbeat before an election.', 'ms', 50, 60_000, 350),
  snapshotEvery: whole('Entries of the log between snapshots; fewer where they hold large documents.', 'entries', 10, 1_000_000, 100),
  duties: {
    type: 'table',
    about: 'What one registry at a time does for all boxes, at whoever runs the platform below; left out where there is nobody.',
    fallback: null,
    fields: {
      address: hostPort('Where the calls go.'),
      leaseMs: whole('After one registry has acted, it doesn\'t act again within this time once another has.', 'ms', 500, 600_000, 3000),
      usageWindowSeconds: { type: 'number', about: 'Length of the windows in which requests that began are counted, as gateways have it.', least: 1, most: 3600, whole: false, unit: 's', fallback: 5 },
      usageLateSeconds: { type: 'number', about: 'A window is told at latest so long after its end.', least: 1, most: 3600, whole: false, unit: 's', fallback: 10 }
    }
  },
  lostMs: whole('An endpoint that was silent for so long counts as lost.', 'ms', 1000, 24 * 3_600_000, 30_000),
  maxBodyBytes: whole('Largest body of a call.', 'bytes', 1024, 256 * 2 ** 20, 16 * 2 ** 20)
}

/** What every box that routes by a document is told. */
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

/** What a gateway is told. */
export interface GatewaySettings extends RouteBoxSettings {
  readonly listen: string
  readonly ready: string
  readonly retries: { readonly ratio: number, readonly extra: number, readonly windowSeconds: number }
  /** 0 where usage is not counted. */
  readonly usageWindowSeconds: number
  readonly drainSeconds: number
  readonly maxConnections: number
}

/** Where duties are carried out, and within which bounds. */
export interface DutySettings {
  readonly address: string
  readonly leaseMs: number
  readonly usageWindowSeconds: number
  readonly usageLateSeconds: number
}

/** What a registry is told. */
export interface RegistrySettings extends RouteBoxSettings {
  readonly listen: string
  readonly bind: string
  readonly data: string
  readonly first: boolean
  readonly faults: number
  readonly heartbeatMs: number
  readonly electionMs: number
  readonly snapshotEvery: number
  /** Null where there are none. */
  readonly duties: DutySettings | null
  readonly lostMs: number
  readonly maxBodyBytes: number
}

/** Parts an address as settings write it. */
export function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}
