/** Schema of intents: everything that operators configure through the keepers. */
import { describeHost, describeName, describeNumber, describePort, describeText, describeInteger } from './field.js'
import type { Field, FieldTable } from './field.js'

const unlimited = 1_000_000_000
const hourMs = 3_600_000

const workspace: FieldTable = {
  keys: {
    type: 'list',
    minItems: 1,
    about: 'SHA-256 digests, in hex, of the API keys of the workspace; `wrenlane key` generates a key and its digest.',
    of: { type: 'text', about: '', pattern: /^[0-9a-f]{64}$/, allowed: 'a SHA-256 digest in hex' }
  },
  defaultClass: describeName('Class of requests that specify none.'),
  requestsPerSecond: describeNumber('Maximum request rate over all boxes.', 'requests/s', 0.01, unlimited, unlimited),
  tokensPerMinute: describeInteger('Maximum token rate over all boxes, prompt and answer.', 'tokens/min', 1, unlimited, unlimited),
  streams: describeInteger('Maximum number of requests in flight over all boxes.', 'requests', 1, unlimited, unlimited)
}

const requestClass: FieldTable = {
  priority: describeInteger('0 is the highest priority; a request never displaces one with a smaller number.', 'rank', 0, 15),
  firstTokenMs: describeInteger('Target for the time to the first token.', 'ms', 10, hourMs),
  betweenTokenMs: describeInteger('Target for the time between tokens, 95th percentile.', 'ms', 1, 60_000, 100),
  wholeMs: describeInteger('Target for the time to the complete answer; 0 for none.', 'ms', 0, hourMs, 0),
  mayWait: { type: 'switch', about: 'Whether a request may stay in the queue beyond its first-token target.', fallback: false },
  maxWaitMs: describeInteger('Longest time in the queue for a request that may wait.', 'ms', 1000, 24 * hourMs, hourMs)
}

const pool: FieldTable = {
  models: { type: 'list', minItems: 1, of: describeName(''), about: 'Models that every engine of the pool serves.' },
  places: describeInteger('Concurrent streams of an engine for requests that may not wait.', 'streams', 1, 1024),
  floorPlaces: describeInteger('Additional streams of an engine reserved for requests that may wait.', 'streams', 0, 64, 1),
  prefillMs: describeNumber('Time that an engine needs to prefill 1,000 prompt tokens.', 'ms', 0.1, 60_000, 60),
  protocol: { type: 'choice', of: ['openai', 'wrenlane'], about: '`openai`: engines support only the public protocol; `wrenlane`: also resume, cancel and load reports as in docs/ENGINES.md.', fallback: 'wrenlane' }
}

const engine: FieldTable = {
  pool: describeName('Pool of the engine.'),
  zone: describeName('Availability zone of the engine.'),
  host: describeHost('Address of the engine.'),
  port: describePort('Port of the engine.'),
  checksFencing: { type: 'switch', about: 'Whether the engine rejects requests with a lower fencing number than it has seen.', fallback: false },
  leaving: { type: 'switch', about: 'Whether the engine is being drained: it gets no new requests.', fallback: false }
}

const endpoint: Field = {
  type: 'table',
  about: 'An endpoint of the service.',
  fields: {
    host: describeHost('Address of the endpoint.'),
    port: describePort('Port of the endpoint.'),
    zone: describeName('Availability zone of the endpoint.')
  }
}

const service: FieldTable = {
  endpoints: { type: 'list', minItems: 1, of: endpoint, about: 'Endpoints of the service.' },
  repeatable: { type: 'switch', about: 'Whether a call may be executed more than once. If not, callers send an Idempotency-Key.', fallback: false },
  repeatablePaths: { type: 'list', minItems: 0, of: describeText(''), about: 'Path prefixes that may be repeated even if the service may not.', fallback: [] },
  timeoutMs: describeInteger('Time-out of a call, over all its attempts. A call that may not be repeated goes on after it, for those who repeat its key.', 'ms', 100, hourMs, 10_000)
}

export const intentFields: FieldTable = {
  workspaces: { type: 'named', fields: workspace, about: 'Workspaces, by name.' },
  classes: { type: 'named', fields: requestClass, about: 'Classes of requests, by name.' },
  pools: { type: 'named', fields: pool, about: 'Pools of engines, by name.' },
  engines: { type: 'named', fields: engine, about: 'Engines, by name.' },
  services: { type: 'named', fields: service, about: 'Services other than engines, by name.' },
  remove: {
    type: 'list',
    minItems: 0,
    of: { type: 'text', about: '', pattern: /^(workspaces|classes|pools|engines|services)\..+$/, allowed: '"section.name"' },
    about: 'Items to remove, each as "section.name".',
    fallback: []
  }
}
