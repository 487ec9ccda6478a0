/** The tables of docs/CAPACITY.md, worked out from measured slopes. */
import { readSlope } from './slope.js'
import type { Slope } from './slope.js'
import { daySeconds, target } from './target.js'

/** Figures that are not slopes. */
export interface Singles {
  readonly remoteRequestBytes: number
  /** Of one load report over HTTP, both ways. */
  readonly pollBytes: number
  /** Share of requests that another box placed, in a run with a shard for each box. */
  readonly remoteShare: number
  readonly changeBytes: number
  /** A box's word to a keeper: its revision alone, and with the status of a node's engines. */
  readonly watch: { readonly light: number, readonly full: number }
  readonly logChangeBytes: number
  readonly logClaimBytes: number
  readonly syncsPerSecond: number
  readonly snapshot: { readonly writeMs: number, readonly bytes: number, readonly readMs: number }
}

/** Everything that was measured. */
export interface Measured {
  readonly slopes: ReadonlyMap<string, Slope>
  readonly singles: Singles
  readonly machine: string
  readonly date: string
  readonly commit: string
}

// As in entry-box.ts, engine-poller.ts, shard-load-reporter.ts and config-sync.ts.
const subsetLinks = 18
const toldAtOnce = 4
const loadsEverySeconds = 0.25
const demandsEverySeconds = 10
const watchEverySeconds = 2
const statusEverySeconds = 4
const keepers = 5
const pollMsPerEngine = 150
const eventsEveryTurn = 3
const activeWorkspaces = 24

/** The table of slopes. */
export function formatSlopes (measured: Measured): string {
  const lines = [
    `Measured on ${measured.machine}, ${measured.date}, commit ${measured.commit}.`,
    '',
    '| slope | along | measured | fit | spread |',
    '|---|---|---|---|---|'
  ]
  for (const slope of measured.slopes.values()) {
    const points = slope.points.map(({ x, y }) => `${format(x)}: ${format(y)}`).join('; ')
    lines.push(`| ${slope.name} (${slope.unit}) | ${slope.by} | ${points} | ${format(slope.fit.base)} + ${format(slope.fit.slope)} × size | ${Math.round(slope.fit.spread * 100)}% |`)
  }
  const { singles } = measured
  lines.push('', '| single figure | measured |', '|---|---|')
  lines.push(`| bytes of all words for a request that another box places | ${format(singles.remoteRequestBytes)} |`)
  lines.push(`| bytes of one load report over HTTP, both ways | ${format(singles.pollBytes)} |`)
  lines.push(`| share of requests that another box placed (virtual time, a shard for each box, ordinary day) | ${format(singles.remoteShare)} |`)
  lines.push(`| bytes of one change to one box | ${format(singles.changeBytes)} |`)
  lines.push(`| bytes of log for a change, planned and confirmed | ${format(singles.logChangeBytes)} |`)
  lines.push(`| bytes of log for a claim, settled with an answer of 200 bytes | ${format(singles.logClaimBytes)} |`)
  lines.push(`| syncs a second of this disk | ${format(singles.syncsPerSecond)} |`)
  lines.push(`| snapshot after ${format(target.changesPerDay)} changes: written, size, read | ${format(singles.snapshot.writeMs)} ms, ${format(singles.snapshot.bytes)} bytes, ${format(singles.snapshot.readMs)} ms |`)
  return lines.join('\n')
}

interface Row {
  readonly what: string
  readonly arithmetic: string
  readonly value: number
}

/** The table of a node's control traffic. */
export function formatNodeBytes (measured: Measured): string {
  const rows = listNodeBytes(measured)
  return formatRows(rows, 'bytes/s', target.boundBytesPerSecond)
}

/** The table of a node's control processor time. */
export function formatNodeCore (measured: Measured): string {
  return formatRows(listNodeCore(measured), '% of a core', target.boundCorePercent)
}

/** The table of a node's control memory. */
export function formatNodeMemory (measured: Measured): string {
  return formatRows(listNodeMemory(measured), 'MB', target.boundMegabytes)
}

/** The table of the data path, which is not control. */
export function formatDataPath (measured: Measured): string {
  const requests = target.requestsPerSecond / target.nodes
  const tokens = target.tokensPerSecond / target.nodes
  const rows: Row[] = []
  const perRequest = measured.slopes.get('entry-requests')
  const perToken = measured.slopes.get('entry-tokens')
  if (perRequest !== undefined) rows.push({ what: 'requests', arithmetic: `${format(perRequest.fit.slope)} cores × ${format(requests)}/s`, value: perRequest.fit.slope * requests * 100 })
  if (perToken !== undefined) rows.push({ what: 'relayed tokens', arithmetic: `${format(perToken.fit.slope)} cores × ${format(tokens)}/s`, value: perToken.fit.slope * tokens * 100 })
  return formatRows(rows, '% of a core', null)
}

/** The table of the keepers. */
export function formatKeepers (measured: Measured): string {
  const { singles } = measured
  const changes = target.changesPerDay / daySeconds
  const rows = [
    ['changes', `${format(target.changesPerDay)} a day / ${format(daySeconds)} s`, `${format(changes)}/s`],
    ['log', `${format(singles.logChangeBytes)} bytes × ${format(changes)}/s`, `${format(singles.logChangeBytes * changes)} bytes/s to each replica`],
    ['spreading', `${format(singles.changeBytes)} bytes × ${format(changes)}/s × ${target.nodes} boxes`, `${format(singles.changeBytes * changes * target.nodes / 1000)} KB/s from each keeper, as every box watches every keeper`],
    ['state', `${format(read(measured, 'change-memory', target.changesPerDay) / 1e6)} MB after a day of changes`, 'MB of heap, first answers of 24 h with it'],
    ['restart', `${format(read(measured, 'restart', 20_000 / 2))} ms for 20,000 entries since a snapshot + ${format(singles.snapshot.readMs)} ms for the snapshot`, `${format(read(measured, 'restart', 20_000 / 2) + singles.snapshot.readMs)} ms`],
    ['restart after 100,000 changes without a snapshot', 'the restart slope × 100,000', `${format(read(measured, 'restart', 100_000))} ms`],
    ['claims', `one sync serves many; ${format(singles.syncsPerSecond)} syncs/s here`, `${format(singles.logClaimBytes)} bytes of log and ${format(slopeOf(measured, 'claim-time'))} µs more a claim for each claim kept`]
  ]
  return ['| what | arithmetic | result |', '|---|---|---|', ...rows.map(row => `| ${row.join(' | ')} |`)].join('\n')
}

/** The table of what fails. */
export function formatFailures (measured: Measured): string {
  const events = target.failuresPerDay + 2 * target.restartsPerDay
  const tellings = 3 * Math.ceil(Math.log2(target.nodes + 2))
  const parting = read(measured, 'parting', target.runners) / 1000
  const rows = [
    ['a box fails or restarts', `${target.failuresPerDay} + 2 × ${target.restartsPerDay} a day`, `one in ${format(daySeconds / events)} s; its news is told ${tellings} times by each node, on probes that go anyway`, 'found in 3 to 5 s (membership tests, virtual time); its shards are taken over as soon as each box knows', 'requests in flight on that box; its queued ones are asked again elsewhere'],
    ['a rack', 'once a week, 40 boxes at a time', 'as above, 40 times', 'as above: each node finds out by its own probe or by news', 'as above'],
    ['a zone cut off', 'every other month', `${target.nodes / target.zones} boxes on one side`, 'both sides serve on with what they hold; healed in a few probes of a gone box every 4 s', 'claims and changes on the side without a quorum, as not run'],
    ['regions apart', 'an hour now and then', 'no message crosses', 'each region serves its own engines', 'changes and claims on the side without a quorum'],
    ['owners move', 'at each of these', `owners of ${Math.ceil(target.runners / 32)} shards or more, each box for itself; parting ${format(parting)} ms only when engines change`, 'at once on each box', 'nothing: running streams are adopted by the new owner']
  ]
  return ['| event | how often | messages | time to settle | refused meanwhile |', '|---|---|---|---|---|', ...rows.map(row => `| ${row.join(' | ')} |`)].join('\n')
}

function listNodeBytes (measured: Measured): Row[] {
  const { singles } = measured
  const requests = target.requestsPerSecond / target.nodes
  const perSecond = subsetLinks / (Math.ceil(subsetLinks / toldAtOnce) * loadsEverySeconds)
  const loads = read(measured, 'loads-bytes', 0)
  const demands = read(measured, 'loads-bytes', activeWorkspaces) - loads
  const runners = target.runners / target.nodes
  const polls = (1 + 1 / eventsEveryTurn) / Math.max(1, runners * pollMsPerEngine / 1000)
  const changes = target.changesPerDay / daySeconds
  return [
    { what: 'membership', arithmetic: `the member-bytes line at ${target.nodes}`, value: read(measured, 'member-bytes', target.nodes) },
    { what: 'loads of shards', arithmetic: `${format(loads)} bytes × ${format(perSecond)}/s × 2 (in and out), ${subsetLinks} links`, value: loads * perSecond * 2 },
    { what: 'demands of workspaces', arithmetic: `${format(demands)} bytes (${activeWorkspaces} active) × ${subsetLinks} links / ${demandsEverySeconds} s × 2`, value: demands * subsetLinks / demandsEverySeconds * 2 },
    { what: 'requests placed by another box', arithmetic: `${format(singles.remoteRequestBytes)} bytes × ${format(requests)}/s × ${format(singles.remoteShare)} × 2`, value: singles.remoteRequestBytes * requests * singles.remoteShare * 2 },
    { what: 'configuration', arithmetic: `${format(singles.changeBytes)} bytes × ${format(changes)}/s × ${keepers} keepers`, value: singles.changeBytes * changes * keepers },
    { what: 'revision and status to keepers', arithmetic: `${format(singles.watch.light)} bytes × ${keepers} / ${watchEverySeconds} s + ${format(singles.watch.full)} bytes / ${statusEverySeconds} s`, value: singles.watch.light * keepers / watchEverySeconds + singles.watch.full / statusEverySeconds },
    { what: 'load reports of engines', arithmetic: `${format(singles.pollBytes)} bytes × ${format(polls)}/s × ${runners} runners`, value: singles.pollBytes * polls * runners }
  ]
}

function listNodeCore (measured: Measured): Row[] {
  const requests = target.requestsPerSecond / target.nodes
  const changes = target.changesPerDay / daySeconds
  const decision = read(measured, 'decision', 32)
  const change = read(measured, 'change-time', target.workspaces)
  const rows: Row[] = [
    { what: 'membership', arithmetic: `the member-core line at ${target.nodes}`, value: read(measured, 'member-core', target.nodes) },
    { what: 'decisions', arithmetic: `${format(decision)} µs × ${format(requests)}/s`, value: decision * requests / 10_000 },
    { what: 'configuration', arithmetic: `${format(change)} µs × ${format(changes)}/s`, value: change * changes / 10_000 }
  ]
  const idle = measured.slopes.get('entry-idle')
  if (idle !== undefined) {
    const runners = target.runners / target.nodes
    rows.push({ what: 'everything of an entry process without callers: ticks, loads, polls, links', arithmetic: `the entry-idle line at ${runners} engines`, value: readSlope(idle, runners) * 100 })
  }
  return rows
}

function listNodeMemory (measured: Measured): Row[] {
  const streams = target.tokensPerSecond / target.nodes * 0.065
  const rows: Row[] = [
    { what: 'configuration', arithmetic: `the config-memory line at ${format(target.workspaces)} workspaces, with ${format(target.runners)} engines`, value: read(measured, 'config-memory', target.workspaces) / 1e6 },
    { what: 'shard', arithmetic: 'the engine-memory line at 32 engines', value: read(measured, 'engine-memory', 32) / 1e6 },
    { what: 'requests in flight', arithmetic: `${format(slopeOf(measured, 'request-memory'))} bytes × ${format(streams)} streams (tokens/s × 65 ms)`, value: slopeOf(measured, 'request-memory') * streams / 1e6 }
  ]
  const process = measured.slopes.get('entry-streams')
  if (process !== undefined) rows.push({ what: 'the process, its streams with it (data path included)', arithmetic: `the entry-streams line at ${format(streams)}`, value: readSlope(process, streams) })
  return rows
}

function formatRows (rows: readonly Row[], unit: string, bound: number | null): string {
  const sum = rows.reduce((total, row) => total + row.value, 0)
  const lines = [`| part | arithmetic | ${unit} |`, '|---|---|---|']
  for (const row of rows) lines.push(`| ${row.what} | ${row.arithmetic} | ${format(row.value)} |`)
  lines.push(`| **sum** | | **${format(sum)}** |`)
  if (bound !== null) {
    const verdict = sum <= bound ? `${format((1 - sum / bound) * 100)}% left` : `**over by ${format((sum / bound - 1) * 100)}%**`
    lines.push(`| **the letter's bound** | | **${format(bound)}**, ${verdict} |`)
  }
  return lines.join('\n')
}

function read (measured: Measured, name: string, size: number): number {
  const slope = measured.slopes.get(name)
  if (slope === undefined) throw new Error(`slope ${name} was not measured`)
  return readSlope(slope, size)
}

function slopeOf (measured: Measured, name: string): number {
  return measured.slopes.get(name)?.fit.slope ?? 0
}

function format (value: number): string {
  if (value !== 0 && Math.abs(value) < 0.01) return value.toExponential(2)
  if (Math.abs(value) < 10) return String(Math.round(value * 100) / 100)
  if (Math.abs(value) < 1000) return String(Math.round(value * 10) / 10)
  return Math.round(value).toLocaleString('en-US')
}
