/** What `wrenlane status` shows, from what the keepers say. */
import type { BoxStatus, KeeperStatus } from '../protocol/index.js'

/** The state of a deployment. */
export interface StatusReport {
  readonly revision: number
  readonly inForceEverywhere: boolean
  readonly leader: string | null
  /** Keepers that can still be lost; -1 where there is no quorum. */
  readonly spareKeepers: number
  readonly keepers: readonly (KeeperStatus | { readonly id: string, readonly role: 'unreachable' })[]
  readonly boxes: readonly BoxStatus[]
}

/** Puts the words of all keepers together; the leader's counts most. */
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

/** The report as lines for people. */
export function formatReport (report: StatusReport): string {
  const lines = [
    `revision ${report.revision}, ${report.inForceEverywhere ? 'in force on every box heard from' : 'not yet in force everywhere'}`,
    `keepers: leader ${report.leader ?? 'none'}, ${formatSpare(report.spareKeepers)}`
  ]
  for (const keeper of report.keepers) {
    if (keeper.role === 'unreachable') lines.push(`  ${keeper.id}  unreachable`)
    else if ('term' in keeper) lines.push(`  ${keeper.id}  ${keeper.role}  term ${keeper.term}  commit ${keeper.commit}  revision ${keeper.revision}  claims ${keeper.claims}${keeper.waiting.length > 0 ? `  waiting to be let in: ${keeper.waiting.join(', ')}` : ''}`)
  }
  lines.push('boxes (each as it said within the last seconds):')
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

function formatSpare (spare: number): string {
  if (spare < 0) return 'no quorum: nothing can be accepted'
  if (spare === 0) return 'redundancy lost: one more loss stops changes and claims'
  return `${spare} can be lost`
}
