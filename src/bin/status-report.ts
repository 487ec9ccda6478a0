/** Output of `wrenlane status`, composed from the statuses of the keepers. */
import type { BoxStatus, KeeperStatus } from '../protocol/index.js'

/** State of a deployment. */
export interface StatusReport {
  readonly revision: number
  readonly inForceEverywhere: boolean
  readonly leader: string | null
  /** Number of keepers that may still fail without losing the quorum; -1 if there is none. */
  readonly spareKeepers: number
  readonly keepers: readonly (KeeperStatus | { readonly id: string, readonly role: 'unreachable' })[]
  readonly boxes: readonly BoxStatus[]
}

/**
 * Merges keeper statuses, given in the order of `names` and null if unreachable. For each
 * box, the most recently sent status wins, with the highest revision that any keeper reports.
 */
export function composeReport (names: readonly string[], statuses: readonly (KeeperStatus | null)[]): StatusReport {
  const received = statuses.filter(status => status !== null)
  const leader = received.find(status => status.role === 'leader')
  const boxes = new Map<string, BoxStatus>()
  for (const status of received) {
    for (const box of status.boxes) {
      const previous = boxes.get(box.id)
      const latest = previous === undefined || previous.sentAt < box.sentAt ? box : previous
      boxes.set(box.id, { ...latest, revision: Math.max(box.revision, previous?.revision ?? 0) })
    }
  }
  const revision = Math.max(0, ...received.map(status => status.revision))
  const list = [...boxes.values()].sort((a, b) => (a.id < b.id ? -1 : 1))
  return {
    revision,
    inForceEverywhere: list.every(box => box.revision === revision),
    leader: leader?.id ?? null,
    spareKeepers: leader?.spare ?? -1,
    keepers: names.map((id, i) => statuses[i] ?? { id, role: 'unreachable' as const }),
    boxes: list
  }
}

/** Formats the report as human-readable lines. */
export function formatReport (report: StatusReport): string {
  const lines = [
    `revision ${report.revision}, ${report.inForceEverywhere ? 'in force on all reporting boxes' : 'not yet in force on all reporting boxes'}`,
    `keepers: leader ${report.leader ?? 'none'}, ${formatRedundancy(report.spareKeepers)}`
  ]
  for (const keeper of report.keepers) {
    if (keeper.role === 'unreachable') lines.push(`  ${keeper.id}  unreachable`)
    else if ('term' in keeper) lines.push(`  ${keeper.id}  ${keeper.role}  term ${keeper.term}  commit ${keeper.commit}  revision ${keeper.revision}  claims ${keeper.claims}${keeper.waiting.length > 0 ? `  waiting to join: ${keeper.waiting.join(', ')}` : ''}`)
  }
  lines.push('boxes (as reported within the last few seconds):')
  for (const box of report.boxes) {
    const queues = Object.entries(box.queues).filter(([, size]) => size > 0).map(([name, size]) => `${name}=${size}`).join(' ')
    lines.push(`  ${box.id}  zone ${box.zone}  revision ${box.revision}  ${box.leaving ? 'leaving' : box.ready ? 'ready' : 'not ready'}  in flight ${box.inFlight}  violations ${box.violations}  queues ${queues === '' ? 'empty' : queues}`)
  }
  lines.push('engines:')
  for (const engine of report.boxes.flatMap(box => box.engines)) {
    lines.push(`  ${engine.id}  pool ${engine.pool}  zone ${engine.zone}  ${engine.state}${engine.slow ? ' slow' : ''}  quick ${engine.quick}/${engine.places}  waiting classes ${engine.patient}  scheduled by ${engine.owner}`)
  }
  return lines.join('\n')
}

function formatRedundancy (spare: number): string {
  if (spare < 0) return 'no quorum: changes and claims are not accepted'
  if (spare === 0) return 'no redundancy: one more failure stops changes and claims'
  return `${spare} may fail`
}
