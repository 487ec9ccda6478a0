/**
 * The events in the logs of gateways and registries, with their fields.
 * `docs/LOGS.md` is generated from this list; a test checks that the events and
 * fields that the code logs are on it.
 */

/** Documentation of one event. */
export interface LoggedEvent {
  /** What the event means, and which program logs it. */
  readonly about: string
  readonly fields: Readonly<Record<string, string>>
}

const requestField = { request: 'the caller\'s id of the request' }
const orderFields = { service: 'the service', zone: 'the zone', kind: '`spot` for preemptible endpoints, else `ordinary`', count: 'the ordered number of endpoints', why: 'requests at endpoints now, their recent peak, and the backlog of requests queued in boxes, ms; for orders by price also arriving prompt tokens/s now and at the peak, engine time per token, the endpoints needed, those that must remain without the spot endpoints of one zone, the groups that are not asked for now, and the price', end: 'the result of the call' }
const endpointFields = { endpoint: 'the endpoint\'s id', service: 'its service' }

/** All events by name. */
export const routeEvents: Readonly<Record<string, LoggedEvent>> = {
  exchange: {
    about: 'An admitted request was completed (gateway). `info` for `ok`, else `warn`.',
    fields: {
      ...requestField,
      route: 'name of the route',
      service: 'the selected service',
      workspace: 'the caller\'s workspace',
      outcome: '`ok`, `endpoint-status` (an error status of the endpoint, passed on), `left` (the caller disconnected), `cut` (the answer broke off after its start), else the kind of error as in ERRORS.md',
      cut: 'for `cut`, why this box ended the answer: `endpoint-failed` (its connection ended early, or it went on with an invalid answer), `restarted` (the endpoint has), `version-gone` (no endpoint of the software version that began the stream takes requests), `unnamed-event` (its last event has an id that no request can name, or none), `deadline`, `no-room` (see `answer-dropped`), `internal` (see `unexpected-error`) or `stopped` (the box shut down)',
      denial: 'why a request that could have been sent again was not: `attempts` (all that its route allows were made) or `budget` (no retry was left)',
      status: 'the status sent to the caller; 0 for none',
      version: 'version of the document in force at admission',
      waitedMs: 'from arrival to the first attempt',
      firstMs: 'from arrival to the answer, or its first event',
      targetMs: 'the route\'s target for `firstMs`',
      totalMs: 'from arrival to completion',
      events: 'number of forwarded events',
      resumes: 'for the rest of a stream, the id of the request that began it, as its caller named it',
      lastEvent: 'for the rest of a stream, the id of the last event that its caller has received',
      software: 'software version that began the stream; `-` for other answers, and where the endpoint doesn\'t report it',
      pauseMs: 'the longest pause between events',
      pauseLimitMs: 'the route\'s limit on the pause between events',
      priority: 'priority of a request to engines, 0 is served first',
      prompt: 'id of the last part of the prompt, which is unique to the request: correlates a refused request with its retry',
      fingerprint: 'digest of method, address, caller and body, for requests with a broken attempt or in quarantine: correlates retries of the same request',
      admission: 'figures of the admission decision: `wait` ms expected until an engine starts on the request, `reading` ms expected for its own prompt, `allowed` ms of wait, `late` ratio of actual to expected times of first events, by which both are multiplied; `less` prompt tokens of lower priority at engines, and ms since the last such request was started; prompt tokens ahead of it: sent by this box (`own`), sent by `others`, and `held` in the queues of boxes; `engines` that read them and their `rate`, tokens/ms; `share` of requests of its kind, or of its workspace\'s, that is admitted under overload, else 1; where the capacity is divided among workspaces, `workspaceShare` as SHARE/USE/ROOM/FREE/AGE: the most that a workspace of the kind is given (`-` for no limit), the arrival rate of this one over all boxes, what the workspaces of the kind divide, in prompt tokens/s or, for a plain service, ms of answer time/s; slots believed free (`-` for engines); ms since the totals of other boxes arrived (`-` where this box divides its own part); `-` where the request is sent at once and engines are not congested, or a plain service has enough capacity',
      denied: 'number of denied permits for rate-limited endpoints; `-` for none',
      closedMs: 'ms until an endpoint accepts requests again, where all are in back-off or have exhausted their rate limits; `-` where one always accepted',
      plain: 'the newest choice for a plain call, while the measures against contention are on: `send`, `wait` or `late` (given up, as no endpoint was expected to answer within the target), `expected` ms from sending to the answer, or from arrival where it was not sent, `ahead` calls that waited in this box and went first, `free` endpoints believed to have a free slot of those usable, `totals` age of the load of the other boxes, ms, `-` without a hub',
      attempts: 'the attempts, separated by `;`: ENDPOINT@ms after arrival, `expected` ms to the first event, `of` number of candidates, `apart` number of reserved engines, `read` prompt tokens expected to be computed, `fetch` tokens expected to be fetched from another engine and its name, `-` for none, `home` 1 where the engine is the designated one for the shared part of the prompt, `permit` ms to obtain a permit for a rate-limited endpoint, `slot` ms to obtain a slot of a brittle endpoint, `via` the relay through which it was sent, none for a direct send, `software` the version of the endpoint\'s software if it reports one, `beside` if an earlier attempt went on meanwhile as its endpoint was only suspected, and the result of the attempt: `replaced` and why it was suspected, or `given up` for one of two sends of which the other answered',
      returns: 'only while the measures of `[contention]` are on, for refused requests and returns: figures of the planned return, `after` ms that the caller was told, `expected` 1 if it is counted as coming back (it honours at most a third of its remaining time), `free` amount/s that arrivals leave for returns (prompt tokens, or requests to a plain service), `age` ms of the totals of other boxes, `-` without any; of a request that was recognised as a return, `since` ms after the time that it was told, negative for early'
    }
  },
  'unexpected-error': { about: 'An error of the program itself ended one request (gateway). To be reported to the developers.', fields: { request: 'the caller\'s id of the request; empty before it is known', place: '`arrival` (before its exchange began), `exchange` or `relay` (forwarded for another box)', error: 'the error', line: 'where it was thrown' } },
  'stream-not-moved': { about: 'No endpoint was found for the rest of a stream, which goes on only at the software version that began it (gateway).', fields: { ...requestField, service: 'the service that began it', software: 'the version that began it; `-` where the endpoint doesn\'t report it', why: 'the outcome of the search: `no-version` (no endpoint of the version takes requests), `unplaced`, `closed` or `quarantined`' } },
  refused: { about: 'A request was refused before admission (gateway).', fields: { ...requestField, kind: 'kind of error as in ERRORS.md', version: 'version of the document in force; 0 for none', text: 'the reason' } },
  beliefs: { about: 'The gateway\'s estimates for the engines of a service, every 2 s.', fields: { service: 'the service', text: '`apart` engines reserved for long prompts, `base` the part of these that are designated for shared prompts, `own` the number that this box alone would reserve; `pace` ms per prompt token, `start` ms to the first event that are not spent on reading, both the median over the boxes while hubs report it; `learned` START/PACE as this box alone has learned them, where the measures against contention are on; `beside` ms between events of a stream while its engine reads a prompt, `patience` ms of allowed pause from which requests go to reserved engines; `late` ratio of actual to expected times of first events, by kind; `held` tokens queued in boxes; then for each engine ID (`*`: reserved)/running requests/tokens to be read/ms per token/ms between events/health' } },
  endpoint: { about: 'The directory of endpoints changed (both).', fields: { ...endpointFields, stage: '`ready`, `draining`, `gone` or `lost`', sequence: 'sequence number of the endpoint\'s record', zone: 'its zone' } },
  'record-dropped': { about: 'The record of an endpoint from another box is dropped, as it names no endpoint to which requests can be sent (both).', fields: { endpoint: 'the id in it', field: 'the field at fault' } },
  'endpoint-overtaken': { about: 'A registration arrived for an endpoint whose address now belongs to another one: it was delayed on its way and is ignored (registry).', fields: { endpoint: 'the endpoint\'s id', sequence: 'sequence number of the registration' } },
  'endpoint-notice': { about: 'A notice of an endpoint changed (gateway).', fields: { ...endpointFields, limit: 'requests/s that the endpoint accepts from all boxes together; `-` for no limit', brittle: 'how many requests it can refuse within a second before it fails; `-` where it does not say so', isLeaving: 'true where the endpoint is shutting down', stamp: 'logical time: the notice with the highest applies', from: '`answer` if read from an answer here, `box` if received from another box' } },
  'endpoint-backoff': { about: 'An endpoint refused a request and asked this box to back off (gateway).', fields: { ...endpointFields, backoffMs: 'the back-off period' } },
  'endpoint-header-faulty': { about: 'A header of an endpoint\'s answer is malformed or out of range and was replaced by a bound (gateway). At most once a second per endpoint.', fields: { ...endpointFields, name: 'the header', value: 'its value, truncated' } },
  'permits-silent': { about: 'No registry issues permits: this box uses only its own share of each rate limit (gateway).', fields: { boxes: 'number of boxes that share a limit; 0 where that is unknown, and nothing is sent' } },
  'permits-back': { about: 'A registry issues permits again (gateway).', fields: { silentMs: 'since the first unanswered call' } },
  'slots-silent': { about: 'No registry gives out slots of brittle endpoints: this box uses endpoints that seem half empty (gateway).', fields: { service: 'the service', waiting: 'number of requests that wait here' } },
  'slots-back': { about: 'A registry gives out slots again (gateway).', fields: { service: 'the service' } },
  'endpoint-ended': { about: 'An endpoint ended without notice: connections broke and new ones are refused, or a restarted instance of it has registered (gateway).', fields: { ...endpointFields, born: 'start time of the ended instance, Unix ms; 0 if unknown', runs: 'number of this gateway\'s requests that ran there' } },
  quarantine: { about: 'The quarantine of a request that crashes endpoints was changed by this box or another one (both).', fields: { fingerprint: 'digest of the request\'s method, address, caller and body', state: '`refused` or `lifted`', round: 'incremented with each change', service: 'the service', software: 'service and version of the endpoints that ended while running it', sound: 'software that has answered it since', ends: 'number of ended endpoints behind the decision', weight: 'improbability that they are unrelated to the request, as a natural logarithm', leftMs: 'until the request may be tried again' } },
  'quarantine-lifted': { about: 'An operator lifted a quarantine (registry).', fields: { fingerprint: 'digest of the request' } },
  'endpoint-unreachable': { about: 'The gateway ejects an endpoint until a connection to it succeeds (gateway).', fields: { ...endpointFields, reason: 'the failure: of a request, `misdirected` (another endpoint answered at its address), `refused` (when its connection had just broken) or `probe`' } },
  'endpoint-reached': { about: 'An endpoint that had refused connections accepted one (gateway).', fields: endpointFields },
  paths: { about: 'The paths to endpoints of a service changed: an endpoint that this box doesn\'t reach is reached by a relay, or this box reaches it again (gateway).', fields: { service: 'the service', reason: '`checked` (a relay reached an endpoint) or `connected` (a direct connection succeeded)', changed: 'the endpoints, truncated', relayed: 'number of endpoints that are reached through relays now', endpoints: 'number of endpoints of the service' } },
  forwarded: { about: 'A request of another box was forwarded to an endpoint (gateway, as the relay).', fields: { request: 'the caller\'s id of the request', ...endpointFields, outcome: '`ok`, `cancelled` (the other box gave it up) or the failure: `unreachable`, `lost` or `broken`', totalMs: 'from arrival to completion' } },
  'document-asked': { about: 'The gateway requested a document from a registry (gateway).', fields: { version: 'the version that the registry announced', held: 'the version to diff against; 0 for the complete document', registry: 'name of the registry', why: '`newer`: a newer version was announced; else the state of the previous request: `ended` (its link closed), `silent` or `overdue`' } },
  'document-received': { about: 'A registry sent a document (gateway).', fields: { version: 'its version', base: 'the version that it was diffed against; 0 for a complete document', registry: 'name of the registry', bytes: 'transferred size', ms: 'since the latest request for a document', usable: 'false where it could not be reconstructed from the base document; the complete one is requested then' } },
  'routes-in-force': { about: 'A newer document is in force (gateway).', fields: { version: 'its version', routes: 'number of routes', services: 'number of services', droppedWorkspaces: 'number of workspaces whose names no header can carry, from a document that an earlier build accepted: their keys are not known', readMs: 'time to decode and apply it' } },
  'document-not-read': { about: 'A document from a registry is invalid; the previous one stays in force (gateway).', fields: { version: 'its version', error: 'the reason' } },
  'document-put': { about: 'An operator\'s upload of a document was answered (registry).', fields: { version: 'its version', end: '`taken`, `held` (this version or a newer one is already stored) or `unknown`', routes: 'number of routes', ms: 'duration of the call' } },
  'document-in-force': { about: 'A document was committed and applied (registry).', fields: { version: 'its version', bytes: 'its size' } },
  'call-refused': { about: 'A call was refused as invalid (registry).', fields: { call: 'the call', mistakes: 'number of mistakes', first: 'the first mistake' } },
  'call-failed': { about: 'A call failed because of an internal error (registry).', fields: { call: 'the call', error: 'the error' } },
  role: { about: 'The Raft role of this replica changed (registry).', fields: { role: 'the role', term: 'the term', leader: 'replica of the leader' } },
  lease: { about: 'The lease on a duty changed: its holder carries out the duty for all boxes (registry).', fields: { duty: 'the duty', state: '`held`, `run-out` (not renewed in time, or taken over by another registry) or `released`', fence: 'the fencing number' } },
  'usage-settled': { about: 'The counts of a window are committed to the log (leading registry).', fields: { window: 'its number', requests: 'number of requests started in it', workspaces: 'number of their workspaces', behind: 'boxes that had not reported all of the window; what they report later is not counted', sinceMs: 'since the end of the window' } },
  'usage-not-settled': { about: 'Committing the counts of a window failed, or its result is unknown; it is retried (leading registry).', fields: { window: 'its number', end: '`closed` where the window is too old, else `unknown`' } },
  'usage-reported': { about: 'The operator of the platform accepted the counts of a window (leading registry).', fields: { window: 'its number', requests: 'number of requests started in it', lateMs: 'after the deadline; negative for before', ms: 'duration of the call' } },
  'usage-not-reported': { about: 'Reporting the counts of a window failed; the same counts are sent again (leading registry).', fields: { window: 'its number', requests: 'number of requests started in it', lateMs: 'after the deadline', ms: 'duration of the call', failures: 'consecutive failures', why: 'the result of the call' } },
  'usage-given-up': { about: 'A window was not accepted for so long that it is no longer reported (leading registry).', fields: { window: 'its number' } },
  'endpoints-ordered': { about: 'A number of endpoints was ordered (leading registry).', fields: { ...orderFields } },
  'endpoints-not-ordered': { about: 'An order of endpoints was refused or not answered; it is retried (leading registry).', fields: { ...orderFields } },
  'zone-unavailable': { about: 'A zone has no endpoints of a kind, so its share is ordered in other zones; only for orders by price (leading registry).', fields: { service: 'the service', zone: 'the zone', kind: orderFields.kind, why: '`refused` (the platform refused an order) or `leaving` (most spot endpoints of the zone announced that they leave)', retryMs: 'until the zone is asked again' } },
  members: { about: 'The leader changed the members of the log (registry).', fields: { voters: 'the voting members', learners: 'the non-voting members', newcomers: 'members that have not yet taken over the vote of an earlier one of their zone', end: '`applied`, `lost` or the reason of a rejection' } },
  'leadership-transfer': { about: 'The leader handed over the log because a newer registry of its zone takes over its vote (registry).', fields: { end: '`done`, or `failed` where no other registry has the whole log' } },
  'log-formed': { about: 'A new log was created at the first start (registry).', fields: { voters: 'its initial members' } },
  'disk-refuses': { about: 'Writing to the disk failed; it is retried, and nothing is acknowledged meanwhile (registry).', fields: { error: 'the reason' } },
  'disk-writes-again': { about: 'The disk accepts writes again (registry).', fields: {} },
  'disk-not-opened': { about: 'The data folder can\'t be opened; it is retried (registry).', fields: { error: 'the reason' } },
  'saved-items-dropped': { about: 'Items of a list saved beside the log are not valid and are dropped, for example endpoints that an earlier build accepted (registry).', fields: { file: 'the file', dropped: 'number of items dropped', kept: 'number of valid items' } },
  'list-not-read': { about: 'A list saved beside the log can\'t be read; its content is received from the boxes again (registry).', fields: { file: 'the file', error: 'the reason' } },
  'list-not-saved': { about: 'A list beside the log can\'t be saved; it is retried (registry).', fields: { file: 'the file', error: 'the reason' } },
  'disk-not-closed': { about: 'Closing the log files at shutdown failed (registry).', fields: { error: 'the reason' } },
  'disk-failed': { about: 'The replica stopped because of a disk failure (registry).', fields: { error: 'the reason' } },
  'registry-met': { about: 'A link to a registry was opened (gateway).', fields: { registry: 'its name' } },
  'registry-forgotten': { about: 'A registry was away for so long, without another one listing it, that it is no longer dialled (gateway). It is found again if it comes back.', fields: { host: 'its address' } },
  'registry-lost': { about: 'A link to a registry was closed (gateway).', fields: { registry: 'its name', left: 'number of open links' } },
  'gateway-met': { about: 'A gateway identified itself on its link (registry).', fields: { gateway: 'its name', version: 'version of its document' } },
  'gateway-lost': { about: 'The link of a gateway was closed (registry).', fields: { gateway: 'its name' } },
  'gateway-silent': { about: 'A gateway no longer sends load reports to this hub; its load is removed from the sums (registry).', fields: { gateway: 'its name' } },
  'gateway-moved': { about: 'A gateway switched to another hub; its load is removed from the sums here (registry).', fields: { gateway: 'its name' } },
  'hub-chosen': { about: 'The gateway switched to the load totals of another hub (gateway).', fields: { hub: 'host of the hub', before: 'host of the previous hub; empty for none' } },
  'hubs-silent': { about: 'No hub sends load totals: the gateway takes only its own load into account (gateway).', fields: { hub: 'host of the last hub' } },
  'load-port-fault': { about: 'The UDP socket for load reports failed (both).', fields: { error: 'the reason' } },
  'link-fault': { about: 'This side closed a link because of a fault (both).', fields: { fault: 'the fault; `silent`: no heartbeat; `no-memory`: an incomplete frame for which there was no memory', peer: 'the other box; empty before its hello' } },
  'contention-handled': { about: 'The measures of `[contention]` are in force (both).', fields: { why: '`settings`, `feature` (the platform marks the deployment) or `uneven-boxes` (boxes of different CPU share are known)' } },
  'answer-dropped': { about: 'An exchange was ended because the answers that callers have not read exceed the budget; its `exchange` line follows (gateway).', fields: { request: 'its id', workspace: 'its workspace', bytes: 'memory held for it', budget: 'memory for all answers', idleMs: 'since the caller last read; `-` where nothing had been relayed' } },
  'clients-refused': { about: 'Clients were refused, or their connections closed, for lack of room since the last such line: one line a second for each listener and reason (both).', fields: { listener: '`callers`, `relay`, `readiness`, `metrics`, `operators` or `load` (datagrams)', reason: '`body` (a body for which there was no memory), `memory` (a head, or requests behind another) or `connections` (there were too many); `memory` of `load`: no room for a report', count: 'how many', address: 'of the last one', workspace: 'of the last one, if its key was known', held: 'memory held for all clients, bytes', budget: 'memory for all clients, bytes' } },
  'body-limit-lowered': { about: 'The limit of the document on a body exceeds what the box has memory for; a larger body than that is refused (gateway).', fields: { version: 'the document\'s version', limit: 'the document\'s limit, bytes', effective: 'the largest body, bytes' } },
  'gateway-started': { about: 'The gateway has started.', fields: { listen: 'address for callers', seeds: 'the configured registries' } },
  'gateway-held-up': { about: 'The gateway did nothing for longer than its checks allow: it was suspended, had no processor time, or was busy with one task. What it answers then may be late (gateway).', fields: { ms: 'for how long' } },
  'gateway-leaving': { about: 'A planned stop has begun; readiness checks fail from now on (gateway).', fields: { inFlight: 'requests in flight' } },
  'drain-accepted': { about: 'A request that arrived after a planned stop had begun is served, as its deadline is before the stop (gateway).', fields: { ...requestField, route: 'its route', leftMs: 'until the box stops', deadlineMs: 'until the deadline of the request' } },
  'gateway-stopped': { about: 'A planned stop is complete (gateway).', fields: { cut: 'requests that were aborted', ms: 'duration of the stop' } },
  'registry-started': { about: 'The registry has started.', fields: { replica: 'its replica', formed: 'whether its disk holds a log' } },
  'registry-stopped': { about: 'The registry was stopped as planned.', fields: {} },
  'settings-read': { about: 'The settings file was reloaded (both).', fields: { why: '`signal` or `change`', seeds: 'the configured seeds' } },
  'settings-refused': { about: 'The settings file has a mistake or can\'t be read; the previous settings stay in force (both).', fields: { why: '`signal` or `change`', mistake: 'the mistake' } },
  'lines-left-out': { about: 'Lines are missing from this log since the previous second (both).', fields: { overCap: 'lines suppressed by the rate limit', dropped: 'lines dropped because the reader was too slow' } },
  violation: { about: 'An invariant was violated: a bug (both).', fields: { rule: 'the invariant', detail: 'what was observed' } }
}
