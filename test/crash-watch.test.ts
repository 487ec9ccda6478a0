/**
 * Evidence against requests during which endpoints crashed. Guards against
 * quarantining harmless requests: while one request crashed 21 endpoints in twelve
 * seconds, a dozen harmless ones were each sent four times and lost four endpoints,
 * so the number of crashes alone does not distinguish them.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { CrashWatch, brandId } from '../src/core/index.js'
import type { CrashUpdate, EndpointCrash, Fingerprint, SendDecision } from '../src/core/index.js'

const request = brandId<Fingerprint>('request')
const otherRequest = brandId<Fingerprint>('other')
const endpoints = 12
function listVersion1 (): ReadonlySet<string> { return new Set(['desk v1']) }

/** Crashes at these times, s. `runs`: how long each request had been running, ms. */
function composeCrashes (times: readonly number[], runs: Readonly<Record<string, number>>, name = 'e', software = 'v1'): EndpointCrash[] {
  return times.map((at, i) => ({ endpoint: brandId(`${name}${i}`), born: 1000 + at, service: brandId('desk'), software, ageMs: 60_000 - at * 1000, runs: Object.entries(runs).map(([fingerprint, ms]) => [brandId(fingerprint), ms]) }))
}

function createWatch (crashes: readonly EndpointCrash[], at = 60_000): CrashWatch {
  const watch = new CrashWatch(() => endpoints)
  watch.merge({ ends: crashes, entries: [] }, at)
  return watch
}

const cases: readonly { name: string, crashes: readonly EndpointCrash[], decision: SendDecision['type'] }[] = [
  { name: 'three crashes during short runs', crashes: composeCrashes([10, 11, 12], { request: 60 }), decision: 'refused' },
  { name: 'two crashes during short runs', crashes: composeCrashes([10, 11], { request: 60 }), decision: 'suspect' },
  { name: 'three crashes during runs of three seconds', crashes: composeCrashes([10, 20, 30], { request: 3000 }), decision: 'suspect' },
  { name: 'six crashes during runs of three seconds', crashes: composeCrashes([1, 5, 10, 15, 20, 25], { request: 3000 }), decision: 'refused' },
  { name: 'six crashes during runs of three seconds, with occasional other crashes', crashes: [...composeCrashes([1, 5, 10, 15, 20, 25], { request: 3000 }), ...composeCrashes([2, 6, 12, 18, 24, 28, 33, 38], { other: 300 }, 'others')], decision: 'refused' },
  { name: 'six crashes during runs of three seconds, while all endpoints crash constantly', crashes: [...composeCrashes([1, 5, 10, 15, 20, 25], { request: 3000 }), ...composeCrashes(Array.from({ length: 120 }, (_, i) => i / 4), { other: 300 }, 'others')], decision: 'suspect' },
  { name: 'three crashes, each together with a rack of four endpoints that did not run it', crashes: [...composeCrashes([10, 20, 30], { request: 400 }), ...composeCrashes([10, 10, 10, 10, 20, 20, 20, 20, 30, 30, 30, 30], { other: 400 }, 'rack')], decision: 'suspect' },
  { name: 'an endpoint that crashes every two seconds, three times while running it', crashes: Array.from({ length: 12 }, (_, i) => ({ ...composeCrashes([2 * i], i % 4 === 0 ? { request: 200 } : { other: 200 })[0] })), decision: 'suspect' },
  { name: 'another request that was running during all of these crashes and one more', crashes: [...composeCrashes([10, 11, 12], { request: 60, other: 60 }), ...composeCrashes([13], { other: 60 }, 'more')], decision: 'suspect' },
  { name: 'crashes during another request', crashes: composeCrashes([10, 11, 12], { other: 60 }), decision: 'free' },
  { name: 'a request that has been answered since', crashes: composeCrashes([10, 11, 12], { request: 60 }).map(crash => ({ ...crash, runs: [[request, null]] })), decision: 'free' }
]

for (const { name, crashes, decision } of cases) {
  test(`${name}: ${decision}`, () => assert.equal(createWatch(crashes).decide(request, listVersion1, 60_000).type, decision))
}

test('two requests running during the same crashes are considered harmful only from the sixth crash', () => {
  const five = composeCrashes([10, 11, 12, 13, 14], { request: 60, other: 60 })
  assert.equal(createWatch(five).decide(otherRequest, listVersion1, 60_000).type, 'suspect')
  const watch = createWatch([...five, ...composeCrashes([15], { request: 60 }, 'alone')])
  assert.deepEqual([request, otherRequest].map(one => watch.decide(one, listVersion1, 60_000).type), ['refused', 'suspect'])
})

const harmful = composeCrashes([10, 11, 12], { request: 60 })
/** Events after a request was quarantined, and the resulting decision. */
const followUps: readonly { name: string, at: number, labels?: readonly string[], apply: (watch: CrashWatch, at: number) => unknown, decision: SendDecision['type'], again?: number }[] = [
  { name: 'there is software that it has not crashed', at: 61_000, labels: ['desk v1', 'desk v2'], apply: () => {}, decision: 'trial' },
  { name: 'a trial crashed the new software too', at: 61_000, labels: ['desk v1', 'desk v2'], apply: (watch, at) => watch.merge({ ends: composeCrashes([60], { request: 60 }, 'new', 'v2'), entries: [] }, at), decision: 'refused' },
  { name: 'the new software answered a trial', at: 61_000, labels: ['desk v1', 'desk v2'], apply: (watch, at) => watch.noteAnswered(request, 'desk v2', at), decision: 'sound' },
  { name: 'the new software answered a trial, but only the old one is left', at: 61_000, apply: (watch, at) => watch.noteAnswered(request, 'desk v2', at), decision: 'refused' },
  { name: 'the refusal has expired', at: 700_000, apply: () => {}, decision: 'trial' },
  { name: 'the refusal has expired, and the trial crashed another endpoint', at: 700_000, apply: (watch, at) => watch.merge({ ends: [{ ...harmful[0], endpoint: brandId('late'), ageMs: 0 }], entries: [] }, at), decision: 'refused' },
  { name: 'the refusal has expired, and the request was answered', at: 700_000, apply: (watch, at) => watch.noteAnswered(request, 'desk v1', at), decision: 'free' },
  { name: 'an operator lifted it', at: 61_000, apply: (watch, at) => watch.lift(request, at), decision: 'free' },
  { name: 'attempts already in flight crash more endpoints', at: 61_000, apply: (watch, at) => watch.merge({ ends: composeCrashes([13, 14], { request: 60 }, 'under-way'), entries: [] }, at), decision: 'refused' }
]

for (const { name, at, labels = ['desk v1'], apply, decision } of followUps) {
  test(`in quarantine, then ${name}: ${decision}`, () => {
    const watch = createWatch(harmful)
    apply(watch, at)
    assert.equal(watch.decide(request, () => new Set(labels), at).type, decision)
  })
}

test('a request is refused for ten minutes, then for twenty; crashes from attempts in flight do not extend this', () => {
  const watch = createWatch(harmful)
  watch.merge({ ends: composeCrashes([13, 14], { request: 60 }, 'under-way'), entries: [] }, 60_000)
  assert.deepEqual(watch.list(60_000).entries.map(({ round, leftMs }) => [round, leftMs]), [[1, 600_000]])
  watch.merge({ ends: [{ ...harmful[0], endpoint: brandId('late'), ageMs: 0 }], entries: [] }, 700_000)
  assert.deepEqual(watch.list(700_000).entries.map(({ round, leftMs }) => [round, leftMs]), [[2, 1_200_000]])
})

test('the state stays bounded under an endless stream of new harmful requests', () => {
  const watch = new CrashWatch(() => endpoints)
  for (let i = 0; i < 3000; i++) watch.merge({ ends: composeCrashes([0, 0, 0], { [`request-${i}`]: 5 }, `e${i}-`).map(crash => ({ ...crash, ageMs: 0 })), entries: [] }, i * 100)
  const { ends, entries } = watch.list(300_000)
  assert.ok(ends.length <= 200 && entries.length <= 1000, `${ends.length} ends, ${entries.length} entries`)
  assert.ok(watch.find(brandId('request-2999')) !== undefined)
})

const drawRun = fc.tuple(fc.constantFrom('a', 'b', 'c').map(name => brandId<Fingerprint>(name)), fc.option(fc.integer({ min: 1, max: 500 }), { nil: null }))
const drawCrash = fc.record({ number: fc.integer({ min: 0, max: 6 }), runs: fc.array(drawRun, { maxLength: 3 }) })
const drawReports: fc.Arbitrary<EndpointCrash[]> = fc.array(drawCrash, { maxLength: 12 }).map(list => list.map(({ number, runs }) => ({ endpoint: brandId(`e${number}`), born: 1, service: brandId('desk'), software: 'v1', ageMs: 0, runs })))

function sortUpdate ({ ends, entries }: CrashUpdate): unknown {
  const crashes = ends.map(({ endpoint, runs }) => [endpoint, [...runs].sort()] as const).sort()
  return [crashes, entries.map(({ fingerprint, state }) => [fingerprint, state]).sort()]
}

test('boxes that receive the same reports in any order, or only the changes passed on, know the same crashes', () => {
  fc.assert(fc.property(drawReports, fc.integer(), (reports, seed) => {
    const shuffled = [...reports].sort((a, b) => (JSON.stringify(a).length * seed) % 7 - (JSON.stringify(b).length * seed) % 7)
    const [ordered, reordered, relayed] = [0, 0, 0].map(() => new CrashWatch(() => endpoints))
    const updates = reports.map(report => ordered.merge({ ends: [report], entries: [] }, 1000))
    for (const report of shuffled) reordered.merge({ ends: [report], entries: [] }, 1000)
    for (const update of updates) relayed.merge(update, 1000)
    const known = sortUpdate({ ...ordered.list(1000), entries: [] })
    assert.deepEqual(sortUpdate({ ...reordered.list(1000), entries: [] }), known)
    assert.deepEqual(sortUpdate({ ...relayed.list(1000), entries: [] }), known)
  }), { numRuns: 500 })
})
