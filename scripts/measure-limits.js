/**
 * Measures how gateways follow the rate limits, back-off and shutdown that
 * endpoints announce in response headers: three registries and eight gateways as
 * processes, twelve endpoints, 150 requests per second for 30 s.
 * After `npm run build`: node scripts/measure-limits.js [--all LIMIT]
 * With --all, every endpoint announces that limit, and no back-off or shutdown.
 */
import { Agent } from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { callerHost, composeCallerHeaders } from '../dist/src/soak/caller-headers.js'
import { callHttp } from '../dist/src/soak/http-call.js'
import { countAllowed, countMaxInWindow, drainMs, maxInBackoff, settleMs, noticeReactionMs, windowMs } from '../dist/src/soak/limit-bounds.js'
import { SoakTestbed, callerPort, plainService } from '../dist/src/soak/soak-testbed.js'

const gateways = 8
const endpoints = 12
const requestsPerSecond = 150
const durationMs = 30_000
const responseMs = 250
/** Start and end of the announcements, ms from the start of the run. */
const announceMs = 5000
const withdrawMs = 20_000
const kinds = [
  { name: 'urgent', kind: 'repeatable', priority: 0, targetMs: 600 },
  { name: 'once', kind: 'once', priority: 1, targetMs: 800 },
  { name: 'later', kind: 'repeatable', priority: 2, targetMs: 1500 }
]
const allIndex = process.argv.indexOf('--all')
const commonLimit = allIndex < 0 ? null : Number(process.argv[allIndex + 1])
const limits = commonLimit === null ? [2.6, 1, 0.2] : Array(endpoints).fill(commonLimit)
const backoffs = commonLimit === null ? [1.5, 3] : []

// `crashers: 1` only serves to place the endpoints in different zones.
const stage = new SoakTestbed({ registries: 3, gateways, endpoints, engines: 0, crashers: 1, notices: true }, Number(process.env.SEED ?? 1), (name, code) => console.log(`${name} exited with code ${code}`))
const results = []
const gatewaysByRequest = new Map()
let sent = 0

async function call (agents) {
  const draw = Math.random()
  const kind = draw < 0.4 ? kinds[0] : draw < 0.6 ? kinds[1] : kinds[2]
  const gateway = Math.floor(Math.random() * gateways)
  sent += 1
  const id = `m-${sent}`
  gatewaysByRequest.set(id, gateway)
  const startedAt = performance.now()
  const response = await callHttp({ host: stage.gateways[gateway].host, port: callerPort, method: 'POST', path: `/${kind.name}/x`, headers: composeCallerHeaders(id), agent: agents[gateway], timeout: 5000 }, `body of ${id}`)
  results.push({ kind, status: response.status, ms: performance.now() - startedAt, retryAfterMs: response.retryAfterMs, at: startedAt })
}

function report (announcedAt, withdrawnAt) {
  const times = i => stage.endpoints[i].standin.arrivals.map(one => one.at)
  limits.forEach((limit, i) => {
    const allowed = countAllowed(limit)
    const counted = times(i).filter(one => one >= announcedAt + noticeReactionMs && one < withdrawnAt)
    const usedShare = times(i).filter(one => one >= announcedAt + settleMs && one < withdrawnAt).length / (limit * (withdrawnAt - announcedAt - settleMs) / 1000)
    console.log(`limit ${limit}/s: maximum arrivals in 4 s ${countMaxInWindow(counted, windowMs, announcedAt + settleMs)}, allowed ${allowed}; arrivals relative to the limit ${usedShare.toFixed(2)}`)
  })
  backoffs.forEach((seconds, j) => {
    const arrivals = stage.endpoints[limits.length + j].standin.arrivals.map(one => ({ ...one, gateway: gatewaysByRequest.get(one.requestId) }))
    const announced = arrivals.filter(one => one.backoffMs !== null)
    const violations = announced.filter(one => arrivals.filter(other => other.gateway === one.gateway && other.at > one.at + noticeReactionMs && other.at < one.at + one.backoffMs).length > maxInBackoff)
    console.log(`back-off of ${seconds} s: announced ${announced.length} times, followed by three requests or more ${violations.length} times`)
  })
  if (commonLimit === null) {
    const leaving = stage.endpoints[limits.length + backoffs.length].standin.arrivals
    const leavingAt = leaving.find(one => one.isLeaving)?.at ?? Infinity
    console.log(`leaving: requests later than 2 s after the announcement ${leaving.filter(one => one.isLeaving && one.at > leavingAt + drainMs).length}`)
  }
  const recovered = Array.from({ length: endpoints }, (_, i) => times(i).filter(one => one >= withdrawnAt + 2000).length)
  console.log(`arrivals from 2 s after the end: ${recovered.join(' ')}`)
  for (const kind of kinds) {
    const calls = results.filter(one => one.kind === kind && one.at >= announcedAt && one.at < withdrawnAt)
    const inTime = calls.filter(one => one.status === 200 && one.ms <= kind.targetMs).length
    const retryAfters = calls.filter(one => one.status === 503).map(one => one.retryAfterMs ?? 0).sort((a, b) => a - b)
    console.log(`${kind.name}: in time ${(inTime / calls.length).toFixed(3)} of ${calls.length}, refused ${retryAfters.length}, retry-after from ${retryAfters[0] ?? '-'} to ${retryAfters.at(-1) ?? '-'} ms`)
  }
}

await stage.start()
try {
  const routes = kinds.map(({ name, kind, priority, targetMs }) => ({ name, host: callerHost, prefix: `/${name}/`, kind, timeoutMs: 3000, targetMs, priority, mostAttempts: 2, services: [{ service: plainService }], public: true }))
  const text = JSON.stringify({ version: 1, routes, services: [{ name: plainService }], workspaces: [] })
  while ((await stage.callRegistry(0, 'PUT', '/v1/routing', text)).status !== 200) await sleep(100)
  for (let i = 0; i < gateways; i++) while (!await stage.isReady(i)) await sleep(100)
  await sleep(1000)
  for (const { standin } of stage.endpoints) standin.answerMs = responseMs
  const agents = Array.from({ length: gateways }, () => new Agent({ keepAlive: true }))
  const startedAt = performance.now()
  const calls = []
  const timer = setInterval(() => {
    const due = Math.floor((performance.now() - startedAt) * requestsPerSecond / 1000)
    while (sent < due) calls.push(call(agents))
  }, 5)
  await sleep(announceMs)
  limits.forEach((limit, i) => { stage.endpoints[i].standin.limit = limit })
  backoffs.forEach((seconds, j) => { stage.endpoints[limits.length + j].standin.backoff = { share: 1 / 3, seconds } })
  if (commonLimit === null) stage.endpoints[limits.length + backoffs.length].standin.isLeaving = true
  const announcedAt = performance.now()
  await sleep(withdrawMs - announceMs)
  const withdrawnAt = performance.now()
  for (const { standin } of stage.endpoints) {
    standin.limit = null
    standin.backoff = null
  }
  await sleep(durationMs - withdrawMs)
  clearInterval(timer)
  await Promise.all(calls)
  report(announcedAt, withdrawnAt)
  for (const agent of agents) agent.destroy()
} finally {
  await stage.stop()
}
process.exit(0)
