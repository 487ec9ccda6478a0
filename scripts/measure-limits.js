/**
 * What endpoints see of limits, back-off and leaving that they name on their
 * answers: three registries and eight gateways as processes, twelve endpoints,
 * 150 requests a second for 30 s.
 * After `npm run build`: node scripts/measure-limits.js [--all LIMIT]
 * With --all every endpoint names that limit, and says nothing else.
 */
import { Agent } from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { callerHost, composeCaller } from '../dist/src/soak/caller-words.js'
import { callHttp } from '../dist/src/soak/http-call.js'
import { countAllowed, countMost, drainMs, mostInBackoff, settleMs, toldMs, windowMs } from '../dist/src/soak/limit-bounds.js'
import { SoakStage, callerPort, plainService } from '../dist/src/soak/soak-stage.js'

const gateways = 8
const endpoints = 12
const perSecond = 150
const lengthMs = 30_000
const answerMs = 250
/** When endpoints begin to name what they do, and when they end, ms from the start. */
const fromMs = 5000
const untilMs = 20_000
const kinds = [
  { name: 'urgent', kind: 'repeatable', priority: 0, targetMs: 600 },
  { name: 'once', kind: 'once', priority: 1, targetMs: 800 },
  { name: 'later', kind: 'repeatable', priority: 2, targetMs: 1500 }
]
const at = process.argv.indexOf('--all')
const all = at < 0 ? null : Number(process.argv[at + 1])
const limits = all === null ? [2.6, 1, 0.2] : Array(endpoints).fill(all)
const backoffs = all === null ? [1.5, 3] : []

// Endpoints in different zones: the stage parts them where it has requests that end them.
const stage = new SoakStage({ registries: 3, gateways, endpoints, engines: 0, crashers: 1, notices: true }, Number(process.env.SEED ?? 1), (name, code) => console.log(`${name} ended with ${code}`))
const ends = []
const senders = new Map()
let sent = 0

async function call (agents) {
  const draw = Math.random()
  const kind = draw < 0.4 ? kinds[0] : draw < 0.6 ? kinds[1] : kinds[2]
  const gateway = Math.floor(Math.random() * gateways)
  sent += 1
  const id = `m-${sent}`
  senders.set(id, gateway)
  const startedAt = performance.now()
  const end = await callHttp({ host: stage.gateways[gateway].host, port: callerPort, method: 'POST', path: `/${kind.name}/x`, headers: composeCaller(id), agent: agents[gateway], timeout: 5000 }, `body of ${id}`)
  ends.push({ kind, status: end.status, ms: performance.now() - startedAt, retryAfterMs: end.retryAfterMs, at: startedAt })
}

function report (namedAt, endedAt) {
  const times = i => stage.endpoints[i].standin.arrivals.map(one => one.at)
  limits.forEach((limit, i) => {
    const allowed = countAllowed(limit)
    const told = times(i).filter(one => one >= namedAt + toldMs && one < endedAt)
    const used = times(i).filter(one => one >= namedAt + settleMs && one < endedAt).length / (limit * (endedAt - namedAt - settleMs) / 1000)
    console.log(`limit ${limit}/s: most in 4 s ${countMost(told, windowMs, namedAt + settleMs)}, allowed ${allowed}; arrivals for each allowed ${used.toFixed(2)}`)
  })
  backoffs.forEach((seconds, j) => {
    const sent = stage.endpoints[limits.length + j].standin.arrivals.map(one => ({ ...one, gateway: senders.get(one.requestId) }))
    const asked = sent.filter(one => one.backoffMs !== null)
    const broken = asked.filter(one => sent.filter(other => other.gateway === one.gateway && other.at > one.at + toldMs && other.at < one.at + one.backoffMs).length > mostInBackoff)
    console.log(`back-off of ${seconds} s: asked ${asked.length}, with three requests or more ${broken.length}`)
  })
  if (all === null) {
    const leaving = stage.endpoints[limits.length + backoffs.length].standin.arrivals
    const saidAt = leaving.find(one => one.isLeaving)?.at ?? Infinity
    console.log(`leaving: sends later than 2 s after it was said ${leaving.filter(one => one.isLeaving && one.at > saidAt + drainMs).length}`)
  }
  const back = Array.from({ length: endpoints }, (_, i) => times(i).filter(one => one >= endedAt + 2000).length)
  console.log(`arrivals from 2 s after the end: ${back.join(' ')}`)
  for (const kind of kinds) {
    const own = ends.filter(one => one.kind === kind && one.at >= namedAt && one.at < endedAt)
    const inTime = own.filter(one => one.status === 200 && one.ms <= kind.targetMs).length
    const told = own.filter(one => one.status === 503).map(one => one.retryAfterMs ?? 0).sort((a, b) => a - b)
    console.log(`${kind.name}: in time ${(inTime / own.length).toFixed(3)} of ${own.length}, refused ${told.length}, told to come back after ${told[0] ?? '-'} to ${told.at(-1) ?? '-'} ms`)
  }
}

await stage.start()
try {
  const routes = kinds.map(({ name, kind, priority, targetMs }) => ({ name, host: callerHost, prefix: `/${name}/`, kind, timeoutMs: 3000, targetMs, priority, mostAttempts: 2, services: [{ service: plainService }], public: true }))
  const text = JSON.stringify({ version: 1, routes, services: [{ name: plainService }], workspaces: [] })
  while ((await stage.ask(0, 'PUT', '/v1/routing', text)).status !== 200) await sleep(100)
  for (let i = 0; i < gateways; i++) while (!await stage.isReady(i)) await sleep(100)
  await sleep(1000)
  for (const { standin } of stage.endpoints) standin.answerMs = answerMs
  const agents = Array.from({ length: gateways }, () => new Agent({ keepAlive: true }))
  const startedAt = performance.now()
  const calls = []
  const timer = setInterval(() => {
    const due = Math.floor((performance.now() - startedAt) * perSecond / 1000)
    while (sent < due) calls.push(call(agents))
  }, 5)
  await sleep(fromMs)
  limits.forEach((limit, i) => { stage.endpoints[i].standin.limit = limit })
  backoffs.forEach((seconds, j) => { stage.endpoints[limits.length + j].standin.backoff = { share: 1 / 3, seconds } })
  if (all === null) stage.endpoints[limits.length + backoffs.length].standin.isLeaving = true
  const namedAt = performance.now()
  await sleep(untilMs - fromMs)
  const endedAt = performance.now()
  for (const { standin } of stage.endpoints) {
    standin.limit = null
    standin.backoff = null
  }
  await sleep(lengthMs - untilMs)
  clearInterval(timer)
  await Promise.all(calls)
  report(namedAt, endedAt)
  for (const agent of agents) agent.destroy()
} finally {
  await stage.stop()
}
process.exit(0)
