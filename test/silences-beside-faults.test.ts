import assert from 'node:assert/strict'
import { describe, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { settleMs } from '../src/soak/limit-bounds.js'
import { composeEvent } from '../src/standin/index.js'
import { waitFor } from './support/deployment.js'
import { EndpointLinks } from './support/endpoint-links.js'
import type { RouteDeployment } from './support/route-deployment.js'
import { SilenceRun } from './support/silence-run.js'
import type { PlayedCall, SilencePlan, SilenceShape } from './support/silence-run.js'

interface FaultCase {
  readonly name: string
  readonly number: number
  readonly silences: readonly SilencePlan[]
  readonly retries?: SilenceShape['retries']
  /** Gateways that get calls, by the time since the first call, ms. */
  listCalled? (ms: number): readonly number[]
  /** Prepares the deployment before the first call. */
  prepare? (deployment: RouteDeployment, links: EndpointLinks): Promise<void>
  /** Goes on beside the calls. */
  disturb? (run: SilenceRun): Promise<void>
}

const events = 20
const perSecond = 40
const shape: Omit<SilenceShape, 'number' | 'silences'> = { gateways: 3, endpoints: 6, slots: 128, perSecond, lengthMs: 3000, events, retries: { ratio: 0.2, extra: 20, windowSeconds: 10 } }
const all: readonly SilencePlan[] = [{ atMs: 1000, ms: 1200, share: 1 }]
const noRetries = { ratio: 0, extra: 0, windowSeconds: 10 }
const half: readonly SilencePlan[] = [{ atMs: 1000, ms: 1200, share: 0.5, from: 'busiest' }]

// Cuts the direct connections of the first gateway, so that it uses the others as relays.
async function useRelays (deployment: RouteDeployment, links: EndpointLinks): Promise<void> {
  for (const { port } of deployment.endpoints) await links.add(deployment.endpointHost, port)
  links.cut('reset')
  await waitFor(async () => {
    await deployment.ask('/again/x', { gateway: 0 })
    return [...deployment.gateways[0].fleet.views].every(({ path, health }) => path === 'relay' && health.findState(performance.now()) === 'good')
  }, 'relayed')
}

async function limitRates (deployment: RouteDeployment): Promise<void> {
  for (const endpoint of deployment.endpoints) endpoint.limit = perSecond
  await waitFor(async () => {
    await Promise.all(deployment.gateways.map((_, gateway) => deployment.ask('/again/x', { gateway })))
    return deployment.gateways.every(({ fleet }) => [...fleet.views].every(({ gate }) => gate.limit === perSecond))
  }, 'the limits known')
  await sleep(settleMs)
}

const zones = ['zone-a', 'zone-b', 'zone-c']
const cutZoneIndex = 1

async function setStage (deployment: RouteDeployment, stage: 'ready' | 'draining'): Promise<void> {
  await Promise.all(deployment.endpoints.map(async (endpoint, i) => {
    if (i % zones.length !== cutZoneIndex) await deployment.register(endpoint, 'desk', stage, zones[i % zones.length])
  }))
  await waitFor(() => deployment.gateways.every(({ fleet }) => fleet.listViews('desk' as never).filter(({ record }) => record.stage === stage).length >= 4), stage)
}

// All boxes of a zone are gone for the others, as in a cut, while its endpoints are silent. The streams before it are there.
async function cutZone ({ deployment }: SilenceRun): Promise<void> {
  await sleep(800)
  await setStage(deployment, 'ready')
  await sleep(100)
  deployment.gateways[1].kill()
  deployment.registries[1]?.kill()
  deployment.registries[1] = null
}

const cases: readonly FaultCase[] = [
  { name: 'a relay in use', number: 130, silences: all, retries: noRetries, prepare: useRelays },
  { name: 'rate limits of the endpoints', number: 131, silences: half, prepare: limitRates },
  { name: 'a cut of their zone', number: 132, silences: [1, 4].map(from => ({ atMs: 1000, ms: 1500, share: 1 / 6, from })), listCalled: () => [0, 2], prepare: deployment => setStage(deployment, 'draining'), disturb: cutZone },
  { name: 'a planned stop of a gateway', number: 133, silences: all, retries: noRetries, listCalled: ms => ms < 1300 ? [0, 1, 2] : [1, 2], disturb: async ({ deployment }) => { await sleep(1400); assert.equal(await deployment.gateways[0].stop(), 0) } }
]

const reloadCase: FaultCase = {
  name: 'a reload of settings and a new document',
  number: 130,
  silences: half,
  retries: noRetries,
  disturb: async run => {
    const { deployment } = run
    await sleep(1200)
    for (const gateway of deployment.gateways) gateway.setSeeds(deployment.seeds.slice(1))
    await run.putDocument()
    await sleep(500)
    for (const gateway of deployment.gateways) gateway.setSeeds(deployment.seeds)
  }
}

function describeCalls ({ deployment }: SilenceRun, calls: readonly PlayedCall[]): string[] {
  const findEnd = (requestId: string): string => deployment.lines.map(line => /event=exchange request=(\S+) .*?outcome=(.*?attempts="[^"]*")/.exec(line)).find(match => match?.[1] === requestId)?.[2] ?? ''
  return calls.map(({ requestId, kind, answer, runs }) => `${requestId} ${kind} ${answer.status} ${answer.body.length} bytes, ${runs} runs, ${findEnd(requestId)}`)
}

function isPrefix ({ kind, answer }: PlayedCall): boolean {
  return kind === 'again' || answer.status !== 200 || Array.from({ length: events }, (_, i) => composeEvent(`/${kind}/events-${events}`, i + 1)).join('').startsWith(answer.body)
}

async function assertWhole ({ number, silences, retries = shape.retries, listCalled, prepare, disturb }: FaultCase): Promise<void> {
  const links = new EndpointLinks()
  const chooseGateway = (index: number): number => {
    const called = listCalled?.(index * 1000 / perSecond) ?? [0, 1, 2]
    return called[index % called.length]
  }
  const run = await SilenceRun.start({ ...shape, number, silences, retries, chooseGateway, connectors: [links.connect] })
  try {
    await prepare?.(run.deployment, links)
    const [calls] = await Promise.all([run.play(), disturb?.(run)])
    const met = calls.filter(({ hasMetSilence }) => hasMetSilence)
    assert.ok(met.some(({ kind }) => kind !== 'again'), 'streams met the silence')
    assert.deepEqual(describeCalls(run, calls.filter(call => !isPrefix(call))), [], 'an event is missing or came twice')
    assert.deepEqual(describeCalls(run, calls.filter(({ kind, runs }) => kind === 'stream' && runs > 1)), [], 'ran twice')
    assert.deepEqual(describeCalls(run, calls.filter(({ answer, isComplete }) => answer.status === 200 && !isComplete)), [], 'not whole')
    assert.deepEqual(describeCalls(run, calls.filter(({ answer }) => answer.status !== 200)), [], 'not served')
  } finally {
    await run.stop()
    links.close()
  }
}

describe('silences beside other faults', { concurrency: 2 }, () => {
  for (const one of cases) test(`streams are truncated beside ${one.name}`, () => assertWhole(one))
})

test(`streams are truncated beside ${reloadCase.name}`, () => assertWhole(reloadCase))
