/**
 * Breaks missed service levels down by route, time and reason, from the
 * `event=exchange` log lines of gateways. Each exchange counts once, under the
 * first problem that applies, so that the reasons add up to all exchanges.
 */
import { mergeEvents } from './timeline.js'
import type { TimelineEvent } from './timeline.js'

/**
 * Outcome of an exchange for its caller. `late`: the first event, or the complete
 * response, came after the target; `pause`: a pause between events was too long;
 * `refused`: rejected without being run; `left`: the caller disconnected;
 * `broken`: the endpoint failed or its response was truncated; `silent`: the
 * endpoint timed out.
 */
export type LossReason = 'in-time' | 'late' | 'pause' | 'refused' | 'left' | 'broken' | 'silent'

/** All reasons, in the order of the table's columns. */
export const lossReasons: readonly LossReason[] = ['in-time', 'late', 'pause', 'refused', 'left', 'broken', 'silent']

/** Number of exchanges of one route that ended within one time interval, by reason. */
export interface LossRow {
  readonly route: string
  /** Start of the interval, s after the end of the first exchange. */
  readonly second: number
  readonly counts: Readonly<Record<LossReason, number>>
}

/** Outcomes with which the caller knows that the request was not run. */
const refusalOutcomes = new Set(['overloaded', 'no-engine', 'no-document', 'draining'])

/** Counts exchanges by route, interval and reason. `intervalS` is the length of an interval, s. */
export function countLosses (texts: readonly string[], intervalS: number): LossRow[] {
  const exchanges = mergeEvents(texts, null).filter(event => event.fields.get('event') === 'exchange')
  const startMs = exchanges.length === 0 ? 0 : readMs(exchanges[0])
  const rows = new Map<string, LossRow & { counts: Record<LossReason, number> }>()
  for (const event of exchanges) {
    const route = event.fields.get('route') ?? ''
    const second = Math.floor((readMs(event) - startMs) / 1000 / intervalS) * intervalS
    const key = `${route} ${second}`
    const row = rows.get(key) ?? { route, second, counts: createCounts() }
    row.counts[classifyExchange(event)] += 1
    rows.set(key, row)
  }
  return [...rows.values()].sort((a, b) => a.route.localeCompare(b.route) || a.second - b.second)
}

/** Formats rows as a text table; each reason as a percentage of the row's exchanges. */
export function formatLosses (rows: readonly LossRow[]): string {
  const headings = ['route', 'second', 'exchanges', ...lossReasons]
  const tableRows = rows.map(({ route, second, counts }) => {
    const total = lossReasons.reduce((sum, reason) => sum + counts[reason], 0)
    return [route, String(second), String(total), ...lossReasons.map(reason => counts[reason] === 0 ? '-' : `${(100 * counts[reason] / total).toFixed(1)}`)]
  })
  const widths = headings.map((name, i) => Math.max(name.length, ...tableRows.map(line => line[i].length)))
  return [headings, ...tableRows].map(line => line.map((cell, i) => i === 0 ? cell.padEnd(widths[i]) : cell.padStart(widths[i])).join('  ')).join('\n')
}

function createCounts (): Record<LossReason, number> {
  return { 'in-time': 0, late: 0, pause: 0, refused: 0, left: 0, broken: 0, silent: 0 }
}

function classifyExchange ({ fields }: TimelineEvent): LossReason {
  const outcome = fields.get('outcome') ?? ''
  if (outcome === 'left') return 'left'
  if (outcome === 'engine-timeout') return 'silent'
  if (refusalOutcomes.has(outcome)) return 'refused'
  if (outcome !== 'ok') return 'broken'
  if (readNumber(fields, 'firstMs', 0) > readNumber(fields, 'targetMs', Infinity)) return 'late'
  return readNumber(fields, 'pauseMs', 0) > readNumber(fields, 'pauseLimitMs', Infinity) ? 'pause' : 'in-time'
}

function readNumber (fields: ReadonlyMap<string, string>, name: string, fallback: number): number {
  const value = Number(fields.get(name) ?? NaN)
  return Number.isFinite(value) ? value : fallback
}

function readMs ({ hlc }: TimelineEvent): number { return Number(hlc.split('.')[0]) }
