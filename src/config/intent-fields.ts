/** What an intent may state: everything that operators configure. */
import { describeHost, describeName, describeNumber, describePort, describeText, describeWhole } from './field.js'
import type { Field, FieldTable } from './field.js'

const unlimited = 1_000_000_000
const hourMs = 3_600_000

const workspace: FieldTable = {
  keys: {
    type: 'list',
    least: 1,
    about: 'SHA-256 digests, in hex, of the keys that open the workspace; `wrenlane key` makes a key and its digest.',
    of: { type: 'text', about: '', pattern: /^[0-9a-f]{64}$/, allowed: 'a SHA-256 digest in hex' }
  },
  defaultClass: describeName('Class of a request that names none.'),
  requestsPerSecond: describeNumber('Requests a second over all boxes.', 'requests/s', 0.01, unlimited, unlimited),
  tokensPerMinute: describeWhole('Tokens a minute over all boxes, prompt and answer.', 'tokens/min', 1, unlimited, unlimited),
  streams: describeWhole('Requests in flight over all boxes.', 'requests', 1, unlimited, unlimited)
}

const requestClass: FieldTable = {
  priority: describeWhole('0 is served first; a larger number never displaces a smaller one.', 'rank', 0, 15),
  firstTokenMs: describeWhole('Target for the first token.', 'ms', 10, hourMs),
  betweenTokenMs: describeWhole('Target between tokens, for 95 in 100.', 'ms', 1, 60_000, 100),
  wholeMs: describeWhole('Target for the whole answer; 0 for none.', 'ms', 0, hourMs, 0),
  mayWait: { type: 'switch', about: 'Whether a request may wait in the queue past its first-token target.', fallback: false },
  maxWaitMs: describeWhole('How long a request that may wait is kept in the queue.', 'ms', 1000, 24 * hourMs, hourMs)
}

const pool: FieldTable = {
  models: { type: 'list', least: 1, of: describeName(''), about: 'Models that every engine of the pool serves.' },
  places: describeWhole('Streams of an engine that requests which may not wait can use together.', 'streams', 1, 1024),
  floorPlaces: describeWhole('Streams of an engine kept beside those for requests that may wait.', 'streams', 0, 64, 1),
  prefillMs: describeNumber('Time of an engine to take in 1,000 prompt tokens.', 'ms', 0.1, 60_000, 60),
  protocol: { type: 'choice', of: ['openai', 'wrenlane'], about: 'Whether engines take only the published protocol, or also resume, cancel and load reports as docs/ENGINES.md says.', fallback: 'wrenlane' }
}

const engine: FieldTable = {
  pool: describeName('Pool of the engine.'),
  zone: describeName('Availability zone of the engine.'),
  host: describeHost('Address of the engine.'),
  port: describePort('Port of the engine.'),
  checksFencing: { type: 'switch', about: 'Whether the engine refuses an order with a lower number than it has seen.', fallback: false },
  leaving: { type: 'switch', about: 'Whether the engine is being drained: it gets no new work.', fallback: false }
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
  endpoints: { type: 'list', least: 1, of: endpoint, about: 'Where the service runs.' },
  repeatable: { type: 'switch', about: 'Whether a call may be run more than once. Where not, callers send an Idempotency-Key.', fallback: false },
  repeatablePaths: { type: 'list', least: 0, of: describeText(''), about: 'Paths, by their beginning, that may be repeated although the service may not.', fallback: [] },
  timeoutMs: describeWhole('Time for an answer.', 'ms', 100, hourMs, 10_000)
}

/** The sections of an intent. */
export const intentFields: FieldTable = {
  workspaces: { type: 'named', fields: workspace, about: 'Workspaces, by name.' },
  classes: { type: 'named', fields: requestClass, about: 'Classes of requests, by name.' },
  pools: { type: 'named', fields: pool, about: 'Pools of engines, by name.' },
  engines: { type: 'named', fields: engine, about: 'Engines, by name.' },
  services: { type: 'named', fields: service, about: 'Plain services, by name.' },
  remove: {
    type: 'list',
    least: 0,
    of: { type: 'text', about: '', pattern: /^(workspaces|classes|pools|engines|services)\..+$/, allowed: '"section.name"' },
    about: 'Items to remove, each as "section.name".',
    fallback: []
  }
}
