/** The tables of docs/CAPACITY.md, computed from measured slopes. */
import { estimateAt } from './slope.js'
import type { Slope } from './slope.js'
import { daySeconds, target } from './target.js'

/** Scalar measurements. */
export interface ScalarMeasurements {
  readonly remoteRequestBytes: number
  /** One poll of a load report over HTTP, in both directions. */
  readonly pollBytes: number
  /** Share of requests that are placed by another box, simulated with about one shard per box. */
  readonly remoteShare: number
  readonly changeBytes: number
  /** A `watch` message to a keeper: with the revision alone, and with the status of a node's engines. */
  readonly watch: { readonly light: number, readonly full: number }
  readonly logChangeBytes: number
  readonly logClaimBytes: number
  readonly syncsPerSecond: number
  readonly snapshot: { readonly writeMs: number, readonly bytes: number, readonly readMs: number }
}

/** All measurements, with the machine and commit they were taken on. */
export interface Measurements {
  readonly slopes: ReadonlyMap<string, Slope>
  readonly scalars: ScalarMeasurements
  readonly machine: string
  readonly date: string
  readonly commit: string
}

// Same values as in src/tasks.
const subsetLinks = 18
const peersPerRound = 4
const loadsEverySeconds = 0.25
const demandsEverySeconds = 10
const watchEverySeconds = 2
const statusEverySeconds = 4
const keepers = 5
const pollMsPerEngine = 150
const pollsPerEventRead = 3
const activeWorkspaces = 24

/** The tables of slopes and scalar measurements. */
export function formatSlopes (measured: Measurements): string {
  const lines = [
    `Measured on ${measured.machine}, ${measured.date}, commit ${measured.commit}.`,
    '',
    '| slope | by | measured | fit | largest residual |',
    '|---|---|---|---|---|'
  ]
  for (const slope of measured.slopes.values()) {
    const points = slope.points.map(({ x, y }) => `${format(x)}: ${format(y)}`).join('; ')
    lines.push(`| ${slope.name} (${slope.unit}) | ${slope.by} | ${points} | ${format(slope.fit.base)} + ${format(slope.fit.slope)} × size | ${Math.round(slope.fit.spread * 100)}% |`)
  }
  const { scalars: singles } = measured
  lines.push('', '| scalar | measured |', '|---|---|')
  lines.push(`| bytes of all messages for a request that another box places | ${format(singles.remoteRequestBytes)} |`)
  lines.push(`| bytes of one load report over HTTP, both directions | ${format(singles.pollBytes)} |`)
  lines.push(`| share of requests that another box places (simulation, one shard per box, ordinary scenario) | ${format(singles.remoteShare)} |`)
  lines.push(`| bytes of one change to one box | ${format(singles.changeBytes)} |`)
  lines.push(`| log bytes of a change, planned and confirmed | ${format(singles.logChangeBytes)} |`)
  lines.push(`| log bytes of a claim, settled with an answer of 200 bytes | ${format(singles.logClaimBytes)} |`)
  lines.push(`| disk syncs a second | ${format(singles.syncsPerSecond)} |`)
  lines.push(`| snapshot after ${format(target.changesPerDay)} changes: write, size, restore | ${format(singles.snapshot.writeMs)} ms, ${format(singles.snapshot.bytes)} bytes, ${format(singles.snapshot.readMs)} ms |`)
  return lines.join('\n')
}

interface TableRow {
  readonly label: string
  readonly arithmetic: string
  readonly value: number
}

/** The table of a node's control traffic. */
export function formatNodeBytes (measured: Measurements): string {
  const rows = listNodeBytes(measured)
  return formatRows(rows, 'bytes/s', target.boundBytesPerSecond)
}

/** The table of a node's CPU time for control. */
export function formatNodeCore (measured: Measurements): string {
  return formatRows(listNodeCore(measured), '% of a core', target.boundCorePercent)
}

/** The table of a node's control memory. */
export function formatNodeMemory (measured: Measurements): string {
  return formatRows(listNodeMemory(measured), 'MB', target.boundMegabytes)
}

/** The table of the data path, which doesn't count as control overhead. */
export function formatDataPath (measured: Measurements): string {
  const requests = target.requestsPerSecond / target.nodes
  const tokens = target.tokensPerSecond / target.nodes
  const rows: TableRow[] = []
  const perRequest = measured.slopes.get('entry-requests')
  const perToken = measured.slopes.get('entry-tokens')
  if (perRequest !== undefined) rows.push({ label: 'requests', arithmetic: `${format(perRequest.fit.slope)} cores × ${format(requests)}/s`, value: perRequest.fit.slope * requests * 100 })
  if (perToken !== undefined) rows.push({ label: 'relayed tokens', arithmetic: `${format(perToken.fit.slope)} cores × ${format(tokens)}/s`, value: perToken.fit.slope * tokens * 100 })
  return formatRows(rows, '% of a core', null)
}

/** The table of keeper costs. */
export function formatKeepers (measured: Measurements): string {
  const { scalars: singles } = measured
  const changes = target.changesPerDay / daySeconds
  const rows = [
    ['changes', `${format(target.changesPerDay)} a day / ${format(daySeconds)} s`, `${format(changes)}/s`],
    ['log', `${format(singles.logChangeBytes)} bytes × ${format(changes)}/s`, `${format(singles.logChangeBytes * changes)} bytes/s to each replica`],
    ['distribution', `${format(singles.changeBytes)} bytes × ${format(changes)}/s × ${target.nodes} boxes`, `${format(singles.changeBytes * changes * target.nodes / 1000)} KB/s from each keeper, as every box watches every keeper`],
    ['state', `${format(estimate(measured, 'change-memory', target.changesPerDay) / 1e6)} MB after a day of changes`, 'MB of heap, including the results kept for 24 h'],
    ['restart', `${format(estimate(measured, 'restart', 20_000 / 2))} ms for 20,000 entries since a snapshot + ${format(singles.snapshot.readMs)} ms for the snapshot`, `${format(estimate(measured, 'restart', 20_000 / 2) + singles.snapshot.readMs)} ms`],
    ['restart after 100,000 changes without a snapshot', 'the restart slope × 100,000', `${format(estimate(measured, 'restart', 100_000))} ms`],
    ['claims', `one sync commits many; ${format(singles.syncsPerSecond)} syncs/s on this disk`, `${format(singles.logClaimBytes)} bytes of log and ${format(findSlope(measured, 'claim-time'))} µs more per claim for each claim kept`]
  ]
  return ['| what | arithmetic | result |', '|---|---|---|', ...rows.map(row => `| ${row.join(' | ')} |`)].join('\n')
}

/** The table of failures and their effects. */
export function formatFailures (measured: Measurements): string {
  const events = target.failuresPerDay + 2 * target.restartsPerDay
  const transmissions = 3 * Math.ceil(Math.log2(target.nodes + 2))
  const partitionMs = estimate(measured, 'parting', target.engines) / 1000
  const rows = [
    ['a box fails or restarts', `${target.failuresPerDay} + 2 × ${target.restartsPerDay} a day`, `one in ${format(daySeconds / events)} s; each node sends the update ${transmissions} times, piggybacked on probes`, 'detected in 3 to 5 s (membership tests, virtual time); each box then reassigns its shards at once', 'requests in flight on that box; requests queued there are resubmitted elsewhere'],
    ['a rack', 'once a week, 40 boxes at a time', 'as above, 40 times', 'as above: each node learns of it by its own probe or by an update', 'as above'],
    ['a zone partitioned', 'every other month', `${target.nodes / target.zones} boxes on one side`, 'both sides keep serving with what they have; reconnected within a few probes of gone boxes, sent every 4 s', 'claims and changes on the side without a quorum, as not run'],
    ['regions partitioned', 'occasionally, for an hour', 'none between regions', 'each region serves its own engines', 'changes and claims on the side without a quorum'],
    ['shard owners change', 'at each of these events', `each box assigns the owners of ${Math.ceil(target.engines / 32)} shards or more itself; partitioning takes ${format(partitionMs)} ms, only when engines change`, 'immediate on each box', 'nothing: the new owner adopts running streams']
  ]
  return ['| event | frequency | messages | recovery | refused meanwhile |', '|---|---|---|---|---|', ...rows.map(row => `| ${row.join(' | ')} |`)].join('\n')
}

function listNodeBytes (measured: Measurements): TableRow[] {
  const { scalars: singles } = measured
  const requests = target.requestsPerSecond / target.nodes
  const loadMessagesPerSecond = subsetLinks / (Math.ceil(subsetLinks / peersPerRound) * loadsEverySeconds)
  const loads = estimate(measured, 'loads-bytes', 0)
  const demands = estimate(measured, 'loads-bytes', activeWorkspaces) - loads
  const enginesPerNode = target.engines / target.nodes
  const polls = (1 + 1 / pollsPerEventRead) / Math.max(1, enginesPerNode * pollMsPerEngine / 1000)
  const changes = target.changesPerDay / daySeconds
  return [
    { label: 'membership', arithmetic: `the member-bytes line at ${target.nodes}`, value: estimate(measured, 'member-bytes', target.nodes) },
    { label: 'loads of shards', arithmetic: `${format(loads)} bytes × ${format(loadMessagesPerSecond)}/s × 2 (in and out), ${subsetLinks} links`, value: loads * loadMessagesPerSecond * 2 },
    { label: 'demands of workspaces', arithmetic: `${format(demands)} bytes (${activeWorkspaces} active) × ${subsetLinks} links / ${demandsEverySeconds} s × 2`, value: demands * subsetLinks / demandsEverySeconds * 2 },
    { label: 'requests placed by another box', arithmetic: `${format(singles.remoteRequestBytes)} bytes × ${format(requests)}/s × ${format(singles.remoteShare)} × 2`, value: singles.remoteRequestBytes * requests * singles.remoteShare * 2 },
    { label: 'configuration', arithmetic: `${format(singles.changeBytes)} bytes × ${format(changes)}/s × ${keepers} keepers`, value: singles.changeBytes * changes * keepers },
    { label: 'revision and status to keepers', arithmetic: `${format(singles.watch.light)} bytes × ${keepers} / ${watchEverySeconds} s + ${format(singles.watch.full)} bytes / ${statusEverySeconds} s`, value: singles.watch.light * keepers / watchEverySeconds + singles.watch.full / statusEverySeconds },
    { label: 'load reports of engines', arithmetic: `${format(singles.pollBytes)} bytes × ${format(polls)}/s × ${enginesPerNode} engines`, value: singles.pollBytes * polls * enginesPerNode }
  ]
}

function listNodeCore (measured: Measurements): TableRow[] {
  const requests = target.requestsPerSecond / target.nodes
  const changes = target.changesPerDay / daySeconds
  const decision = estimate(measured, 'decision', 32)
  const change = estimate(measured, 'change-time', target.workspaces)
  const rows: TableRow[] = [
    { label: 'membership', arithmetic: `the member-core line at ${target.nodes}`, value: estimate(measured, 'member-core', target.nodes) },
    { label: 'decisions', arithmetic: `${format(decision)} µs × ${format(requests)}/s`, value: decision * requests / 10_000 },
    { label: 'configuration', arithmetic: `${format(change)} µs × ${format(changes)}/s`, value: change * changes / 10_000 }
  ]
  const idle = measured.slopes.get('entry-idle')
  if (idle !== undefined) {
    const enginesPerNode = target.engines / target.nodes
    rows.push({ label: 'idle entry process: ticks, loads, polls, links', arithmetic: `the entry-idle line at ${enginesPerNode} engines`, value: estimateAt(idle, enginesPerNode) * 100 })
  }
  return rows
}

function listNodeMemory (measured: Measurements): TableRow[] {
  const streams = target.tokensPerSecond / target.nodes * 0.065
  const rows: TableRow[] = [
    { label: 'configuration', arithmetic: `the config-memory line at ${format(target.workspaces)} workspaces, with ${format(target.engines)} engines`, value: estimate(measured, 'config-memory', target.workspaces) / 1e6 },
    { label: 'shard', arithmetic: 'the engine-memory line at 32 engines', value: estimate(measured, 'engine-memory', 32) / 1e6 },
    { label: 'requests in flight', arithmetic: `${format(findSlope(measured, 'request-memory'))} bytes × ${format(streams)} streams (tokens/s × 65 ms)`, value: findSlope(measured, 'request-memory') * streams / 1e6 }
  ]
  const process = measured.slopes.get('entry-streams')
  if (process !== undefined) rows.push({ label: 'the process with its streams (data path included)', arithmetic: `the entry-streams line at ${format(streams)}`, value: estimateAt(process, streams) })
  return rows
}

function formatRows (rows: readonly TableRow[], unit: string, bound: number | null): string {
  const sum = rows.reduce((total, row) => total + row.value, 0)
  const lines = [`| part | arithmetic | ${unit} |`, '|---|---|---|']
  for (const row of rows) lines.push(`| ${row.label} | ${row.arithmetic} | ${format(row.value)} |`)
  lines.push(`| **sum** | | **${format(sum)}** |`)
  if (bound !== null) {
    const verdict = sum <= bound ? `${format((1 - sum / bound) * 100)}% below the bound` : `**${format((sum / bound - 1) * 100)}% above the bound**`
    lines.push(`| **required bound** | | **${format(bound)}**, ${verdict} |`)
  }
  return lines.join('\n')
}

function estimate (measured: Measurements, name: string, size: number): number {
  const slope = measured.slopes.get(name)
  if (slope === undefined) throw new Error(`slope ${name} was not measured`)
  return estimateAt(slope, size)
}

function findSlope (measured: Measurements, name: string): number {
  return measured.slopes.get(name)?.fit.slope ?? 0
}

function format (value: number): string {
  if (value !== 0 && Math.abs(value) < 0.01) return value.toExponential(2)
  if (Math.abs(value) < 10) return String(Math.round(value * 100) / 100)
  if (Math.abs(value) < 1000) return String(Math.round(value * 10) / 10)
  return Math.round(value).toLocaleString('en-US')
}
