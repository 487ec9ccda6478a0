/** Measures requests with harmful parts in their prompts beside sound ones that share the other parts, a line for each case. `npm run build` first; argument: the length of a case, s. */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { RouteDeployment, composeDocument } from '../dist/test/support/route-deployment.js'
import { crashBodyPrefix } from '../dist/src/standin/index.js'

const lengthMs = 1000 * Number(process.argv[2] ?? 26)
const gateways = 8
const endpoints = 12
const zones = ['zone-a', 'zone-b', 'zone-c']
const paths = ['/again/x', '/once/x', '/resume/events-10']
const deadlineMs = 12_000
/** From when on harmful requests come, and how often; how long an endpoint is down, ms. */
const harmfulFromMs = 4000
const harmfulPauseMs = 350
const soundPauseMs = 25
const downMs = 2500
/** How often four endpoints end by themselves, ms. */
const endPauseMs = 3000
/** Boxes in touch know of a crash within this time, ms. */
const contactMs = 3000

const cases = [
  { name: 'one harmful part', harmful: ['harmful1'] },
  { name: 'two harmful parts, three in ten requests with both', harmful: ['harmful1', 'harmful2'] },
  { name: 'no harmful part, four endpoints end every 3 s', harmful: [], hasOtherEnds: true }
]

function draw (list) { return list[Math.floor(Math.random() * list.length)] }

function composeParts () {
  return ['system', `camp${Math.floor(Math.random() * 6)}`, ...(Math.random() < 0.5 ? [`note${Math.floor(Math.random() * 20)}`] : [])]
}

function insertParts (parts, added) {
  const all = [...parts]
  for (const part of added) all.splice(Math.floor(Math.random() * (all.length + 1)), 0, part)
  return all
}

async function play ({ harmful, hasOtherEnds = false }) {
  const deployment = await RouteDeployment.start({ number: 147, gateways })
  const document = composeDocument(1)
  await deployment.putDocument(Object.assign(document, { routes: document.routes.map(route => ({ ...route, timeoutMs: deadlineMs })) }))
  let live = []
  let isEnded = false
  // An endpoint that ends comes back at its address under another id.
  const addEndpoint = async (zone, port) => {
    const endpoint = await deployment.startEndpoint('desk', zone, 16, '', port)
    endpoint.answerMs = 60
    endpoint.crash = { afterMs: 25 + 60 * Math.random(), downMs: 2 ** 30 }
    endpoint.noteCrash = () => {
      live = live.filter(one => one !== endpoint)
      setTimeout(() => { if (!isEnded) void addEndpoint(zone, endpoint.port) }, downMs)
    }
    live.push(endpoint)
  }
  for (let i = 0; i < endpoints; i++) await addEndpoint(zones[i % zones.length], 0)
  await sleep(1000)

  const startedAt = performance.now()
  const measureAge = () => performance.now() - startedAt
  const sent = []
  const send = (parts, isHarmful) => {
    const id = `${isHarmful ? 'harmful' : 'sound'}-${sent.length}`
    const listed = [...parts, `own${sent.length}`].map(part => `${part}:40`).join(',')
    const headers = { 'x-wrenlane-tokens': `${40 * (parts.length + 1)},20`, 'x-wrenlane-prompt-parts': listed }
    const body = `${isHarmful ? crashBodyPrefix : ''}${id}`
    const answer = deployment.ask(paths[sent.length % paths.length], { requestId: id, gateway: Math.floor(Math.random() * gateways), body, deadlineMs, headers })
    sent.push({ id, parts, isHarmful, body, at: measureAge(), answer })
  }
  const sendSound = async () => {
    for (; measureAge() < lengthMs; await sleep(soundPauseMs)) send(composeParts(), false)
  }
  const sendHarmful = async () => {
    await sleep(harmfulFromMs)
    for (; harmful.length > 0 && measureAge() < lengthMs; await sleep(harmfulPauseMs)) send(insertParts(composeParts(), Math.random() < 0.3 ? harmful : [draw(harmful)]), true)
  }
  const endOthers = async () => {
    if (!hasOtherEnds) return
    for (; measureAge() < lengthMs; await sleep(endPauseMs)) for (const endpoint of live.slice(0, 4)) endpoint.simulateCrash('', 2 ** 30)
  }
  await Promise.all([sendSound(), sendHarmful(), endOthers()])
  for (const one of sent) one.answer = await one.answer
  isEnded = true
  await deployment.stop()
  return count(deployment, sent, harmful, startedAt)
}

function count (deployment, sent, harmful, startedAt) {
  const attempts = new Map([...deployment.lines.join('').matchAll(/event=exchange request=(\S+) .*?attempts="([^"]*)"/g)].map(([, id, text]) => [id, text.split(';').length]))
  const runs = deployment.endpoints.flatMap(endpoint => endpoint.runs)
  const crashes = deployment.endpoints.flatMap(({ crashBodies, crashedAt }) => crashBodies.map((body, i) => ({ body, at: crashedAt[i] - startedAt })))
  const parts = harmful.map(part => {
    const requests = sent.filter(one => one.isHarmful && one.parts.includes(part))
    const times = crashes.filter(({ body }) => requests.some(one => one.body === body)).map(({ at }) => at).sort((a, b) => a - b)
    const decidedAt = times[4] ?? times.at(-1) ?? 0
    const late = requests.filter(({ at }) => at > decidedAt + contactMs)
    return { decidedAt, crashes: times.length, lateSends: runs.filter(({ requestId }) => late.some(({ id }) => id === requestId)).length }
  })
  const decidedAt = Math.max(harmfulFromMs, ...parts.map(part => part.decidedAt))
  const describe = (from, to) => {
    const list = sent.filter(({ isHarmful, at }) => !isHarmful && at >= from && at < to)
    const served = list.filter(({ answer }) => answer.status === 200 && answer.isWhole)
    return `${list.length}, whole ${served.length}, of them at the first attempt ${served.filter(({ id }) => attempts.get(id) === 1).length}`
  }
  return {
    parts: parts.map(({ crashes, lateSends }) => `${crashes} crashes, ${lateSends} late sends`),
    before: describe(0, harmfulFromMs),
    between: describe(harmfulFromMs, decidedAt + contactMs),
    after: describe(decidedAt + contactMs, Infinity),
    soundInQuarantine: sent.filter(({ isHarmful, answer }) => !isHarmful && answer.body.includes('quarantined')).length
  }
}

for (const { name, ...one } of cases) console.log(name, JSON.stringify(await play(one)))
process.exit(0)
