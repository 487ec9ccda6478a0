/** Settings of each program: its addresses, zone, folders and bounds. */
import { describeHost, describeName, describePort, describeText, describeWhole } from './field.js'
import type { Field, FieldTable } from './field.js'

const address = (about: string): Field => ({
  type: 'table',
  about,
  fields: { host: describeHost('IP number.'), port: describePort('Port.') }
})

const keeperAddress: Field = {
  type: 'table',
  about: 'A keeper.',
  fields: {
    id: describeName('Name of the keeper.'),
    host: describeHost('IP number.'),
    port: describePort('Port of its control connections.')
  }
}

const shared: FieldTable = {
  id: describeName('Name of this box, unique over all boxes.'),
  zone: describeName('Availability zone of this box.'),
  control: address('Where connections from other boxes arrive.'),
  keepers: { type: 'list', least: 1, of: keeperAddress, about: 'The keepers.' },
  secretFile: describeText('File with the secret that boxes and operators share, at least 16 characters.'),
  statsd: { type: 'table', about: 'Where StatsD metrics go.', fallback: null, fields: { host: describeHost('IP number.'), port: describePort('UDP port.', 8125) } }
}

/** Settings of `wrenlane-entry`. */
export const entryFields: FieldTable = {
  ...shared,
  listen: address('Where callers arrive.'),
  members: {
    type: 'list',
    least: 0,
    about: 'Control addresses of a few entry boxes, to find the others by; UDP and TCP share the number.',
    fallback: [],
    of: address('A box.')
  },
  cacheFile: describeText('File that keeps the newest configuration for a start while cut off; empty for none.', ''),
  balancerLagMs: describeWhole('How long after readiness goes red connections may still arrive.', 'ms', 0, 600_000, 2000),
  drainMs: describeWhole('The longest that a planned stop waits for requests in flight.', 'ms', 0, 24 * 3_600_000, 600_000),
  maxConnections: describeWhole('Connections of callers at a time.', 'connections', 1, 100_000, 4096),
  maxBodyBytes: describeWhole('Largest body of a request.', 'bytes', 1024, 256 * 2 ** 20, 4 * 2 ** 20),
  receiveMs: describeWhole('Time to receive a whole request.', 'ms', 100, 600_000, 10_000),
  enginesPerShard: describeWhole('Engines of a zone that one box schedules together.', 'engines', 1, 1024, 32)
}

/** Settings of `wrenlane-keeper`. */
export const keeperFields: FieldTable = {
  ...shared,
  data: describeText('Folder for everything that must last.'),
  snapshotEvery: describeWhole('Entries of the log between snapshots.', 'entries', 10, 10_000_000, 20_000),
  heartbeatMs: describeWhole('Time between heartbeats of the leader.', 'ms', 10, 10_000, 100),
  electionMs: describeWhole('Shortest time without a heartbeat before an election.', 'ms', 50, 60_000, 600)
}

/** Settings of `wrenlane-standin`. */
export const standinFields: FieldTable = {
  engines: {
    type: 'list',
    least: 0,
    about: 'Engines to stand in for.',
    fallback: [],
    of: {
      type: 'table',
      about: 'An engine.',
      fields: {
        id: describeName('Name of the engine.'),
        host: describeHost('IP number.', '127.0.0.1'),
        port: describePort('Port.'),
        models: { type: 'list', least: 1, of: describeName(''), about: 'Models that it serves.' },
        batch: describeWhole('Streams in the running batch.', 'streams', 1, 4096, 9),
        baseMs: { type: 'number', about: 'Time of a step with nothing in it.', least: 0, most: 10_000, whole: false, unit: 'ms', fallback: 12 },
        streamMs: { type: 'number', about: 'Time that each stream adds to a step.', least: 0, most: 1000, whole: false, unit: 'ms', fallback: 1.5 },
        prefillMs: { type: 'number', about: 'Time to take in 1,000 prompt tokens.', least: 0, most: 60_000, whole: false, unit: 'ms', fallback: 60 },
        kvTokens: describeWhole('Tokens that the KV memory holds.', 'tokens', 256, 100_000_000, 60_000),
        reportLagMs: describeWhole('Age of a load report when it is given.', 'ms', 0, 60_000, 500),
        checksFencing: { type: 'switch', about: 'Whether orders with a lower number are refused.', fallback: true }
      }
    }
  },
  services: {
    type: 'list',
    least: 0,
    about: 'Plain services to stand in for.',
    fallback: [],
    of: {
      type: 'table',
      about: 'A service.',
      fields: {
        id: describeName('Name of the service.'),
        host: describeHost('IP number.', '127.0.0.1'),
        port: describePort('Port.'),
        delayMs: describeWhole('Time before each answer.', 'ms', 0, 60_000, 5)
      }
    }
  }
}

/** An address of a box. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** A keeper's name and address. */
export interface KeeperAddress extends Address {
  readonly id: string
}

/** What every box is told. */
export interface BoxSettings {
  readonly id: string
  readonly zone: string
  readonly control: Address
  readonly keepers: readonly KeeperAddress[]
  readonly secretFile: string
  readonly statsd: Address | null
}

/** What an entry box is told. */
export interface EntrySettings extends BoxSettings {
  readonly listen: Address
  readonly members: readonly Address[]
  readonly cacheFile: string
  readonly balancerLagMs: number
  readonly drainMs: number
  readonly maxConnections: number
  readonly maxBodyBytes: number
  readonly receiveMs: number
  readonly enginesPerShard: number
}

/** What a keeper is told. */
export interface KeeperSettings extends BoxSettings {
  readonly data: string
  readonly snapshotEvery: number
  readonly heartbeatMs: number
  readonly electionMs: number
}

/** How a stand-in engine behaves. */
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

/** How a stand-in service behaves. */
export interface StandinServiceSettings extends Address {
  readonly id: string
  readonly delayMs: number
}

/** What a process of stand-ins is told. */
export interface StandinSettings {
  readonly engines: readonly StandinEngineSettings[]
  readonly services: readonly StandinServiceSettings[]
}
