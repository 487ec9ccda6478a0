/** Log line and metrics of an exchange that has ended. */
import type { Admission } from '../core/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { Attempt, ExchangeSummary } from './exchange-summary.js'
import { identifyRequest } from './fingerprint.js'

/** Logs how an exchange went, and counts it. */
export function reportExchange (summary: ExchangeSummary, log: EventLog, metrics: Metrics): void {
  const { order, outcome, attempts, firstMs, totalMs } = summary
  const route = order.route.name
  metrics.count('exchange', { route, outcome })
  metrics.time('exchange', totalMs, { route })
  if (firstMs !== null) metrics.time('first', firstMs, { route })
  if (summary.maxPauseMs > 0) metrics.time('pause', summary.maxPauseMs, { route })
  const fields = {
    request: order.words.requestId,
    route,
    service: order.service,
    workspace: order.workspace?.name,
    outcome,
    status: summary.status,
    version: order.version,
    waitedMs: attempts.length === 0 ? undefined : Math.round(attempts[0].sentAt - order.arrivedAt),
    firstMs: firstMs === null ? undefined : Math.round(firstMs),
    targetMs: order.work.targetMs,
    totalMs: Math.round(totalMs),
    events: summary.events,
    pauseMs: Math.round(summary.maxPauseMs),
    pauseLimitMs: order.work.pauseMs ?? undefined,
    priority: order.work.cost === null ? undefined : order.work.priority,
    prompt: order.work.cost?.parts.at(-1)?.id,
    fingerprint: outcome === 'quarantined' || attempts.some(isBroken) ? identifyRequest(order) : undefined,
    admission: summary.admission === null ? undefined : formatAdmission(summary.admission),
    denied: summary.denied === 0 ? undefined : summary.denied,
    closedMs: summary.closedMs === 0 ? undefined : Math.round(summary.closedMs),
    attempts: attempts.map(one => formatAttempt(one, order.arrivedAt)).join(';')
  }
  if (outcome === 'ok') log.info('exchange', fields)
  else log.warn('exchange', fields)
}

// The fingerprint is logged only for these, to correlate repeated requests: hashing every body would slow down all requests.
function isBroken ({ end }: Attempt): boolean { return end.startsWith('broken') || end.startsWith('lost') }

// The expected wait, the prompt's own prefill time, the allowed time, and the figures they are computed from.
function formatAdmission ({ waitMs, ownMs, allowedMs, lateness, sinceLessMs, share, backlog }: Admission): string {
  const { ownTokens, otherTokens, heldTokens, lessTokens, engines, rate } = backlog
  const times = `wait=${Math.round(waitMs)}:reading=${Math.round(ownMs)}:allowed=${Math.round(allowedMs)}:late=${lateness.toFixed(2)}:less=${Math.round(lessTokens)}/${Number.isFinite(sinceLessMs) ? Math.round(sinceLessMs) : '-'}`
  return `${times}:own=${Math.round(ownTokens)}:others=${Math.round(otherTokens)}:held=${Math.round(heldTokens)}:engines=${engines}:rate=${rate.toFixed(1)}:share=${share.toFixed(2)}`
}

// The endpoint, the time of the send in ms after arrival, the figures behind the choice, and the outcome.
function formatAttempt (attempt: Attempt, arrivedAt: number): string {
  return `${attempt.endpoint}@${Math.round(attempt.sentAt - arrivedAt)}:expected=${attempt.expectedMs}:of=${attempt.candidates}:apart=${attempt.share}:read=${Math.round(attempt.plan.readTokens)}:fetch=${formatFetch(attempt)}:home=${attempt.isHome ? 1 : 0}${attempt.permitMs === null ? '' : `:permit=${Math.round(attempt.permitMs)}`}:${attempt.end}`
}

function formatFetch ({ plan: { fetch } }: Attempt): string {
  return fetch === null ? '-' : `${Math.round(fetch.tokens)}/${fetch.from.id}`
}
