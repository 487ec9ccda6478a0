import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { crashBodyPrefix } from '../src/standin/index.js'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'
import type { CallAnswer } from './support/route-deployment.js'

const gateways = 3
const endpoints = 8
let deployment: RouteDeployment
let sent = 0

before(async () => {
  deployment = await RouteDeployment.start({ number: 144, gateways, gateway: { retries: { ratio: 0.2, extra: 500, windowSeconds: 10 } } })
  await deployment.putDocument(composeDocument(1))
  for (let i = 0; i < endpoints; i++) (await deployment.addEndpoint('desk')).crash = { afterMs: 20, downMs: 200 }
})

after(async () => { await deployment.stop() })

/** Requests with a harmful part that reached endpoints later than `contactMs` after the fifth crash under it. */
function countLateSends (part: string): number {
  const crashes = deployment.endpoints.flatMap(({ crashBodies, crashedAt }) => crashBodies.map((body, i) => ({ body, at: crashedAt[i] })))
  const fifth = crashes.filter(({ body }) => body.includes(`${part},`)).map(({ at }) => at).sort((x, y) => x - y)[4] ?? Infinity
  return deployment.endpoints.flatMap(({ arrivals }) => arrivals).filter(({ requestId, at }) => requestId.includes(`${part},`) && at > fifth + contactMs).length
}

/** Sends a request that no other one equals, with these parts before one of its own. */
function ask (path: string, parts: readonly string[], isHarmful: boolean): Promise<CallAnswer> {
  sent += 1
  const listed = [...parts, `own${sent}`].map(part => `${part}:40`).join(',')
  const name = `${parts.join(',')}, ${sent}`
  return deployment.ask(path, { requestId: name, body: `${isHarmful ? crashBodyPrefix : 'sound'} ${name}`, gateway: sent % gateways, headers: { 'x-wrenlane-tokens': '160,20', 'x-wrenlane-prompt-parts': listed } })
}

/** Sends a harmful request and three sound ones that share its other parts, again and again. */
async function play (rounds: number, harmful: (round: number) => readonly string[], path: string): Promise<CallAnswer[]> {
  const sound: Promise<CallAnswer>[] = []
  for (let round = 0; round < rounds; round++) {
    for (let i = 0; i < 3; i++) sound.push(ask('/again/x', ['system', `camp${(round + i) % 3}`], false))
    void ask(path, harmful(round), true)
    await sleep(100)
  }
  return await Promise.all(sound)
}

/** Sends that are accepted once five crashes have shown a part to be harmful and all boxes in touch have had time to learn of it, ms. */
const contactMs = 3000
const maxLateSends = 3
const cases: readonly { name: string, path: string, bad: readonly string[], harmful: (round: number) => readonly string[] }[] = [
  { name: 'a part in the middle of a prompt', path: '/again/x', bad: ['bad1'], harmful: round => ['system', 'bad1', `camp${round % 3}`] },
  { name: 'the first part of a prompt', path: '/once/x', bad: ['bad2'], harmful: round => ['bad2', 'system', `camp${round % 3}`] },
  { name: 'a part of streams that may be resumed', path: '/resume/events-40', bad: ['bad3'], harmful: round => ['system', `camp${round % 3}`, 'bad3'] },
  { name: 'one of two parts, or both', path: '/again/x', bad: ['bad4', 'bad5'], harmful: round => ['system', ...(round % 10 < 3 ? ['bad4', 'bad5'] : [`bad${4 + round % 2}`]), `camp${round % 3}`] }
]

for (const { name, path, bad, harmful } of cases) {
  test(`requests that share only ${name} no longer crash one endpoint after the other`, async () => {
    const sound = await play(60, harmful, path)
    for (const part of bad) assert.ok(countLateSends(part) <= maxLateSends, `${countLateSends(part)} late sends of ${part}`)
    const late = sound.slice(sound.length / 2)
    assert.deepEqual(late.filter(({ status }) => status !== 200).map(({ status, body }) => `${status} ${body}`), [])
    const answer = await ask(path, harmful(0), true)
    assert.equal(answer.status, 503)
    assert.equal((JSON.parse(answer.body) as { error: string }).error, 'quarantined')
  })
}
