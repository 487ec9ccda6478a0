/**
 * What is held against a request under which endpoints ended. Beside one that
 * ended 21 endpoints in twelve seconds, a dozen that harmed nobody were sent four
 * times and lost four endpoints: the ends alone don't tell them apart.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { CrashWatch, brandId } from '../src/core/index.js'
import type { CrashNews, EndpointEnd, Fingerprint, Ruling } from '../src/core/index.js'

const request = brandId<Fingerprint>('request')
const other = brandId<Fingerprint>('other')
const endpoints = 12
function listV1 (): ReadonlySet<string> { return new Set(['desk v1']) }

/** Ends at these times, s; `ms`: how long each of the named requests had run there. */
function composeEnds (times: readonly number[], runs: Readonly<Record<string, number>>, name = 'e', software = 'v1'): EndpointEnd[] {
  return times.map((at, i) => ({ endpoint: brandId(`${name}${i}`), born: 1000 + at, service: brandId('desk'), software, ageMs: 60_000 - at * 1000, runs: Object.entries(runs).map(([fingerprint, ms]) => [brandId(fingerprint), ms]) }))
}

function createWatch (ends: readonly EndpointEnd[], at = 60_000): CrashWatch {
  const watch = new CrashWatch(() => endpoints)
  watch.merge({ ends, entries: [] }, at)
  return watch
}

const cases: readonly { name: string, ends: readonly EndpointEnd[], ruling: Ruling['type'] }[] = [
  { name: 'three ends of short runs', ends: composeEnds([10, 11, 12], { request: 60 }), ruling: 'refused' },
  { name: 'two ends of short runs', ends: composeEnds([10, 11], { request: 60 }), ruling: 'suspect' },
  { name: 'three ends of runs of three seconds', ends: composeEnds([10, 20, 30], { request: 3000 }), ruling: 'suspect' },
  { name: 'six ends of runs of three seconds', ends: composeEnds([1, 5, 10, 15, 20, 25], { request: 3000 }), ruling: 'refused' },
  { name: 'six ends of runs of three seconds, beside others now and then', ends: [...composeEnds([1, 5, 10, 15, 20, 25], { request: 3000 }), ...composeEnds([2, 6, 12, 18, 24, 28, 33, 38], { other: 300 }, 'others')], ruling: 'refused' },
  { name: 'six ends of runs of three seconds, while all endpoints end all the time', ends: [...composeEnds([1, 5, 10, 15, 20, 25], { request: 3000 }), ...composeEnds(Array.from({ length: 120 }, (_, i) => i / 4), { other: 300 }, 'others')], ruling: 'suspect' },
  { name: 'three ends, each beside a rack of four that failed without it', ends: [...composeEnds([10, 20, 30], { request: 400 }), ...composeEnds([10, 10, 10, 10, 20, 20, 20, 20, 30, 30, 30, 30], { other: 400 }, 'rack')], ruling: 'suspect' },
  { name: 'an endpoint that ends every two seconds, thrice under it', ends: Array.from({ length: 12 }, (_, i) => ({ ...composeEnds([2 * i], i % 4 === 0 ? { request: 200 } : { other: 200 })[0] })), ruling: 'suspect' },
  { name: 'another request that was at all these ends, and at more', ends: [...composeEnds([10, 11, 12], { request: 60, other: 60 }), ...composeEnds([13], { other: 60 }, 'more')], ruling: 'suspect' },
  { name: 'ends of another request', ends: composeEnds([10, 11, 12], { other: 60 }), ruling: 'free' },
  { name: 'one that was answered since', ends: composeEnds([10, 11, 12], { request: 60 }).map(end => ({ ...end, runs: [[request, null]] })), ruling: 'free' }
]

for (const { name, ends, ruling } of cases) {
  test(`${name}: ${ruling}`, () => assert.equal(createWatch(ends).rule(request, listV1, 60_000).type, ruling))
}

test('both of two requests at the same ends are held harmful only after six', () => {
  const five = composeEnds([10, 11, 12, 13, 14], { request: 60, other: 60 })
  assert.equal(createWatch(five).rule(other, listV1, 60_000).type, 'suspect')
  const watch = createWatch([...five, ...composeEnds([15], { request: 60 }, 'alone')])
  assert.deepEqual([request, other].map(one => watch.rule(one, listV1, 60_000).type), ['refused', 'suspect'])
})

const harmful = composeEnds([10, 11, 12], { request: 60 })
/** What is heard after a request was put in quarantine, and what may be done with it then. */
const later: readonly { name: string, at: number, labels?: readonly string[], hear: (watch: CrashWatch, at: number) => unknown, ruling: Ruling['type'], again?: number }[] = [
  { name: 'software that it has not ended', at: 61_000, labels: ['desk v1', 'desk v2'], hear: () => {}, ruling: 'trial' },
  { name: 'a trial that ended the new software too', at: 61_000, labels: ['desk v1', 'desk v2'], hear: (watch, at) => watch.merge({ ends: composeEnds([60], { request: 60 }, 'new', 'v2'), entries: [] }, at), ruling: 'refused' },
  { name: 'a trial that the new software answered', at: 61_000, labels: ['desk v1', 'desk v2'], hear: (watch, at) => watch.noteAnswered(request, 'desk v2', at), ruling: 'sound' },
  { name: 'the same, with the old software alone left', at: 61_000, hear: (watch, at) => watch.noteAnswered(request, 'desk v2', at), ruling: 'refused' },
  { name: 'its time is over', at: 700_000, hear: () => {}, ruling: 'trial' },
  { name: 'its time is over, and the trial ended one more', at: 700_000, hear: (watch, at) => watch.merge({ ends: [{ ...harmful[0], endpoint: brandId('late'), ageMs: 0 }], entries: [] }, at), ruling: 'refused' },
  { name: 'its time is over, and it was answered', at: 700_000, hear: (watch, at) => watch.noteAnswered(request, 'desk v1', at), ruling: 'free' },
  { name: 'an operator lifted it', at: 61_000, hear: (watch, at) => watch.lift(request, at), ruling: 'free' },
  { name: 'more ends of sends that were under way', at: 61_000, hear: (watch, at) => watch.merge({ ends: composeEnds([13, 14], { request: 60 }, 'under-way'), entries: [] }, at), ruling: 'refused' }
]

for (const { name, at, labels = ['desk v1'], hear, ruling } of later) {
  test(`in quarantine, then ${name}: ${ruling}`, () => {
    const watch = createWatch(harmful)
    hear(watch, at)
    assert.equal(watch.rule(request, () => new Set(labels), at).type, ruling)
  })
}

test('a request is refused for ten minutes, then for twenty, and what was under way adds nothing', () => {
  const watch = createWatch(harmful)
  watch.merge({ ends: composeEnds([13, 14], { request: 60 }, 'under-way'), entries: [] }, 60_000)
  assert.deepEqual(watch.list(60_000).entries.map(({ round, leftMs }) => [round, leftMs]), [[1, 600_000]])
  watch.merge({ ends: [{ ...harmful[0], endpoint: brandId('late'), ageMs: 0 }], entries: [] }, 700_000)
  assert.deepEqual(watch.list(700_000).entries.map(({ round, leftMs }) => [round, leftMs]), [[2, 1_200_000]])
})

test('what is kept stays bounded against new harmful requests without end', () => {
  const watch = new CrashWatch(() => endpoints)
  for (let i = 0; i < 3000; i++) watch.merge({ ends: composeEnds([0, 0, 0], { [`request-${i}`]: 5 }, `e${i}-`).map(end => ({ ...end, ageMs: 0 })), entries: [] }, i * 100)
  const { ends, entries } = watch.list(300_000)
  assert.ok(ends.length <= 200 && entries.length <= 1000, `${ends.length} ends, ${entries.length} entries`)
  assert.ok(watch.find(brandId('request-2999')) !== undefined)
})

const run = fc.tuple(fc.constantFrom('a', 'b', 'c').map(name => brandId<Fingerprint>(name)), fc.option(fc.integer({ min: 1, max: 500 }), { nil: null }))
const end = fc.record({ number: fc.integer({ min: 0, max: 6 }), runs: fc.array(run, { maxLength: 3 }) })
const words: fc.Arbitrary<EndpointEnd[]> = fc.array(end, { maxLength: 12 }).map(list => list.map(({ number, runs }) => ({ endpoint: brandId(`e${number}`), born: 1, service: brandId('desk'), software: 'v1', ageMs: 0, runs })))

function sortNews ({ ends, entries }: CrashNews): unknown {
  const told = ends.map(({ endpoint, runs }) => [endpoint, [...runs].sort()] as const).sort()
  return [told, entries.map(({ fingerprint, state }) => [fingerprint, state]).sort()]
}

test('boxes that heard the same words in any order, and passed on only what was news, know the same ends', () => {
  fc.assert(fc.property(words, fc.integer(), (list, seed) => {
    const shuffled = [...list].sort((a, b) => (JSON.stringify(a).length * seed) % 7 - (JSON.stringify(b).length * seed) % 7)
    const [one, two, third] = [0, 0, 0].map(() => new CrashWatch(() => endpoints))
    const passed = list.map(word => one.merge({ ends: [word], entries: [] }, 1000))
    for (const word of shuffled) two.merge({ ends: [word], entries: [] }, 1000)
    for (const news of passed) third.merge(news, 1000)
    const known = sortNews({ ...one.list(1000), entries: [] })
    assert.deepEqual(sortNews({ ...two.list(1000), entries: [] }), known)
    assert.deepEqual(sortNews({ ...third.list(1000), entries: [] }), known)
  }), { numRuns: 500 })
})
