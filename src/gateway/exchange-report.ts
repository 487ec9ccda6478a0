/** Log line and metrics of an exchange that has ended. */
import { isRefusedByShare } from '../core/index.js'
import type { Admission, PlainExplanation, WorkspaceShare } from '../core/index.js'
import type { CallerHeaders } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { Refusal } from './answers.js'
import type { Attempt, ExchangeSummary } from './exchange-summary.js'
import { identifyRequest } from './fingerprint.js'

export function reportExchange (summary: ExchangeSummary, log: EventLog, metrics: Metrics): void {
  const { request, outcome, attempts, firstMs, totalMs } = summary
  const route = request.route.name
  metrics.count('exchange', { route, outcome })
  metrics.time('exchange', totalMs, { route })
  if (summary.cutReason !== null) metrics.count('answers-cut', { route, reason: summary.cutReason })
  if (attempts.some(({ isUnframed }) => isUnframed)) metrics.count('unframed-answers', { service: request.service })
  if (firstMs !== null) metrics.time('first', firstMs, { route })
  if (summary.maxPauseMs > 0) metrics.time('pause', summary.maxPauseMs, { route })
  if (summary.admission !== null && isRefusedByShare(summary.admission)) metrics.count('workspace-refused', { service: request.service })
  const fields = {
    request: request.headers.requestId,
    route,
    service: request.service,
    workspace: request.workspace?.name,
    outcome,
    cut: summary.cutReason ?? undefined,
    denial: summary.retryDenial ?? undefined,
    status: summary.status,
    version: request.version,
    waitedMs: attempts.length === 0 ? undefined : Math.round(attempts[0].sentAt - request.arrivedAt),
    firstMs: firstMs === null ? undefined : Math.round(firstMs),
    targetMs: request.work.targetMs,
    totalMs: Math.round(totalMs),
    events: summary.events,
    resumes: request.headers.resumes ?? undefined,
    lastEvent: request.headers.lastEvent ?? undefined,
    software: summary.origin === null || summary.origin.software === '' ? undefined : summary.origin.software,
    pauseMs: Math.round(summary.maxPauseMs),
    pauseLimitMs: request.work.pauseMs ?? undefined,
    priority: request.work.cost === null ? undefined : request.work.priority,
    prompt: request.work.cost?.parts.at(-1)?.id,
    fingerprint: outcome === 'quarantined' || attempts.some(isBroken) ? identifyRequest(request) : undefined,
    admission: summary.admission === null ? undefined : formatAdmission(summary.admission),
    denied: summary.denied === 0 ? undefined : summary.denied,
    closedMs: summary.maxClosedMs === 0 ? undefined : Math.round(summary.maxClosedMs),
    ...(summary.plain === undefined ? {} : { plain: formatPlain(summary.plain) }),
    attempts: attempts.map(one => formatAttempt(one, request.arrivedAt)).join(';'),
    ...(summary.returns === undefined ? {} : { returns: summary.returns })
  }
  if (outcome === 'ok') log.info('exchange', fields)
  else log.warn('exchange', fields)
}

/** Reports a request that was refused before admission; `version`: of the document in force. */
export function reportRefusal (headers: CallerHeaders | null, { kind, text }: Refusal, version: number, { log, metrics }: { readonly log: EventLog, readonly metrics: Metrics }): void {
  metrics.count('refused', { kind })
  log.warn('refused', { request: headers?.requestId, kind, version, text })
}

// The fingerprint is logged only for these, to correlate repeated requests: hashing every body would slow down all requests.
function isBroken ({ end }: Attempt): boolean { return end.startsWith('broken') || end.startsWith('lost') }

// The expected wait, the prompt's own prefill time, the allowed time, and the figures they are computed from.
function formatAdmission ({ workspaceShare, waitMs, ownReadingMs, allowedMs, lateness, sinceLessUrgentMs, share, backlog }: Admission): string {
  const { ownTokens, otherTokens, queuedTokens, lessUrgentTokens, engines, rate } = backlog
  const times = `wait=${Math.round(waitMs)}:reading=${Math.round(ownReadingMs)}:allowed=${Math.round(allowedMs)}:late=${lateness.toFixed(2)}:less=${Math.round(lessUrgentTokens)}/${Number.isFinite(sinceLessUrgentMs) ? Math.round(sinceLessUrgentMs) : '-'}`
  return `${times}:own=${Math.round(ownTokens)}:others=${Math.round(otherTokens)}:held=${Math.round(queuedTokens)}:engines=${engines}:rate=${rate.toFixed(1)}:share=${share.toFixed(2)}${formatWorkspaceShare(workspaceShare)}`
}

// The share of the workspace, its use, what the kind's workspaces divide, free slots, and the age of the totals.
function formatWorkspaceShare (workspaceShare: WorkspaceShare | undefined): string {
  if (workspaceShare === undefined) return ''
  const { share, use, room, free, ageMs } = workspaceShare
  const format = (value: number): string => Number.isFinite(value) ? String(Math.round(value)) : '-'
  return `:workspaceShare=${format(share)}/${format(use)}/${format(room)}/${free === undefined ? '-' : free.toFixed(1)}/${ageMs === null ? '-' : format(ageMs)}`
}

// What was decided last, the expected time, calls that went first, endpoints with a free slot and all usable ones, and the age of the totals.
function formatPlain ({ type, expectedMs, ahead, free, candidates, totalsMs }: PlainExplanation): string {
  return `${type}:expected=${Math.round(expectedMs)}:ahead=${ahead}:free=${free}/${candidates}:totals=${totalsMs === null ? '-' : Math.round(totalsMs)}`
}

// The endpoint, the time of the send in ms after arrival, the figures behind the choice, and the outcome.
function formatAttempt (attempt: Attempt, arrivedAt: number): string {
  return `${attempt.endpoint}@${Math.round(attempt.sentAt - arrivedAt)}:expected=${attempt.expectedMs}:of=${attempt.candidates}:apart=${attempt.dedicatedCount}:read=${Math.round(attempt.plan.readTokens)}:fetch=${formatFetch(attempt)}:home=${attempt.isAffinityEngine ? 1 : 0}${attempt.permitMs === null ? '' : `:permit=${Math.round(attempt.permitMs)}`}${attempt.slotMs === null ? '' : `:slot=${Math.round(attempt.slotMs)}`}${attempt.relay === null ? '' : `:via=${attempt.relay}`}${attempt.software === '' ? '' : `:software=${attempt.software}`}${attempt.isBeside ? ':beside' : ''}${attempt.isUnframed ? ':unframed' : ''}:${attempt.end}`
}

function formatFetch ({ plan: { fetch } }: Attempt): string {
  return fetch === null ? '-' : `${Math.round(fetch.tokens)}/${fetch.from.id}`
}
