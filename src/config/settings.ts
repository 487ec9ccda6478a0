/** Settings of `wrenlane-entry`, `wrenlane-keeper` and `wrenlane-standin`. */
import { describeHost, describeName, describePort, describeText, describeInteger } from './field.js'
import type { Field, FieldTable } from './field.js'

const describeAddress = (about: string): Field => ({
  type: 'table',
  about,
  fields: { host: describeHost('IP address.'), port: describePort('Port.') }
})

const keeperAddress: Field = {
  type: 'table',
  about: 'A keeper.',
  fields: {
    id: describeName('Name of the keeper.'),
    host: describeHost('IP address.'),
    port: describePort('Port of the keeper\'s control connections.')
  }
}

const shared: FieldTable = {
  id: describeName('Name of this box, unique among all boxes.'),
  zone: describeName('Availability zone of this box.'),
  control: describeAddress('Address for connections from other boxes.'),
  keepers: { type: 'list', minItems: 1, of: keeperAddress, about: 'The keepers.' },
  secretFile: describeText('File with the shared secret of boxes and operators, at least 16 characters.'),
  statsd: { type: 'table', about: 'Server for StatsD metrics.', fallback: null, fields: { host: describeHost('IP address.'), port: describePort('UDP port.', 8125) } }
}

/** Settings of `wrenlane-entry`. */
export const entryFields: FieldTable = {
  ...shared,
  listen: describeAddress('Address for connections from callers.'),
  members: {
    type: 'list',
    minItems: 0,
    about: 'Control addresses of some entry boxes, through which the others are discovered; the port is used for both UDP and TCP.',
    fallback: [],
    of: describeAddress('A box.')
  },
  cacheFile: describeText('File that caches the latest configuration, for a start without a connection to the keepers; empty for none.', ''),
  balancerLagMs: describeInteger('How long new connections may still arrive after the readiness check has begun to fail.', 'ms', 0, 600_000, 2000),
  drainMs: describeInteger('Longest time that a planned stop waits for requests in flight.', 'ms', 0, 24 * 3_600_000, 600_000),
  maxConnections: describeInteger('Maximum number of concurrent connections from callers. Beyond it, one without a complete request is closed for a new one.', 'connections', 1, 100_000, 4096),
  maxBodyBytes: describeInteger('Maximum size of the body of a request.', 'bytes', 1024, 256 * 2 ** 20, 4 * 2 ** 20),
  memoryMb: { ...describeInteger('Memory limit of the process. A quarter of it is used for what is held for clients, or 64 MB without this key; the largest body takes at most half of that.', 'MB', 32, 1_048_576), fallback: null },
  receiveMs: describeInteger('Time-out for receiving a complete request.', 'ms', 100, 600_000, 10_000),
  enginesPerShard: describeInteger('Number of engines of a zone that are scheduled together by one box.', 'engines', 1, 1024, 32)
}

/** Settings of `wrenlane-keeper`. */
export const keeperFields: FieldTable = {
  ...shared,
  data: describeText('Folder for persistent data.'),
  snapshotEvery: describeInteger('Log entries between snapshots.', 'entries', 10, 10_000_000, 20_000),
  heartbeatMs: describeInteger('Interval between heartbeats of the leader.', 'ms', 10, 10_000, 100),
  electionMs: describeInteger('Minimum time without a heartbeat before an election.', 'ms', 50, 60_000, 600)
}

/** Settings of `wrenlane-standin`. */
export const standinFields: FieldTable = {
  engines: {
    type: 'list',
    minItems: 0,
    about: 'Simulated engines.',
    fallback: [],
    of: {
      type: 'table',
      about: 'An engine.',
      fields: {
        id: describeName('Name of the engine.'),
        host: describeHost('IP address.', '127.0.0.1'),
        port: describePort('Port.'),
        models: { type: 'list', minItems: 1, of: describeName(''), about: 'Models that the engine serves.' },
        batch: describeInteger('Maximum number of streams in the running batch.', 'streams', 1, 4096, 9),
        baseMs: { type: 'number', about: 'Duration of an empty step.', min: 0, max: 10_000, isInteger: false, unit: 'ms', fallback: 12 },
        streamMs: { type: 'number', about: 'Time added to a step by each stream.', min: 0, max: 1000, isInteger: false, unit: 'ms', fallback: 1.5 },
        prefillMs: { type: 'number', about: 'Time to prefill 1,000 prompt tokens.', min: 0, max: 60_000, isInteger: false, unit: 'ms', fallback: 60 },
        kvTokens: describeInteger('Capacity of the KV cache.', 'tokens', 256, 100_000_000, 60_000),
        reportLagMs: describeInteger('Age of a load report when it is sent.', 'ms', 0, 60_000, 500),
        checksFencing: { type: 'switch', about: 'Whether requests with a lower fencing number than seen before are rejected.', fallback: true }
      }
    }
  },
  services: {
    type: 'list',
    minItems: 0,
    about: 'Simulated services other than engines.',
    fallback: [],
    of: {
      type: 'table',
      about: 'A service.',
      fields: {
        id: describeName('Name of the service.'),
        host: describeHost('IP address.', '127.0.0.1'),
        port: describePort('Port.'),
        delayMs: describeInteger('Time before each answer.', 'ms', 0, 60_000, 5)
      }
    }
  }
}

export interface Address {
  readonly host: string
  readonly port: number
}

export interface KeeperAddress extends Address {
  readonly id: string
}

/** Settings common to entry boxes and keepers. */
export interface BoxSettings {
  readonly id: string
  readonly zone: string
  readonly control: Address
  readonly keepers: readonly KeeperAddress[]
  readonly secretFile: string
  readonly statsd: Address | null
}

export interface EntrySettings extends BoxSettings {
  readonly listen: Address
  readonly members: readonly Address[]
  readonly cacheFile: string
  readonly balancerLagMs: number
  readonly drainMs: number
  readonly maxConnections: number
  readonly maxBodyBytes: number
  /** Null if it is not configured. */
  readonly memoryMb: number | null
  readonly receiveMs: number
  readonly enginesPerShard: number
}

export interface KeeperSettings extends BoxSettings {
  readonly data: string
  readonly snapshotEvery: number
  readonly heartbeatMs: number
  readonly electionMs: number
}

/** Address and behaviour of a simulated engine. */
export interface StandinEngineSettings extends Address {
  readonly id: string
  readonly models: readonly string[]
  readonly batch: number
  readonly baseMs: number
  readonly streamMs: number
  readonly prefillMs: number
  readonly kvTokens: number
  readonly reportLagMs: number
  readonly checksFencing: boolean
}

/** Address and behaviour of a simulated service. */
export interface StandinServiceSettings extends Address {
  readonly id: string
  readonly delayMs: number
}

/** Settings of a process with simulated engines and services. */
export interface StandinSettings {
  readonly engines: readonly StandinEngineSettings[]
  readonly services: readonly StandinServiceSettings[]
}
