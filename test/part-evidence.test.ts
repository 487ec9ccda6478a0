import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CrashWatch, SoundParts, brandId, composePartKey } from '../src/core/index.js'
import type { EndpointCrash, Fingerprint } from '../src/core/index.js'

const bad = composePartKey('bad')
const system = composePartKey('system')
const other = composePartKey('other')
const request = brandId<Fingerprint>('request')
const label = { v1: 'desk v1', v2: 'desk v2' }

/** A crash after so many ms, of an endpoint with these keys in its runs of 60 ms. */
function crash (at: number, keys: readonly Fingerprint[], software = 'v1'): EndpointCrash {
  return { endpoint: brandId(`e${at}`), born: at, service: brandId('desk'), software, ageMs: 60_000 - at, runs: keys.map(key => [key, 60]) }
}

const cases: readonly { name: string, crashes: readonly EndpointCrash[], isRefused: boolean }[] = [
  { name: 'four crashes, one after the other', crashes: [0, 400, 800, 1200].map(at => crash(at, [bad])), isRefused: true },
  { name: 'three crashes', crashes: [0, 400, 800].map(at => crash(at, [bad])), isRefused: false },
  { name: 'a rack of six endpoints that end together', crashes: [0, 20, 50, 90, 150, 250].map(at => crash(at, [bad])), isRefused: false },
  { name: 'a rack, and one more crash', crashes: [0, 20, 50, 90, 800].map(at => crash(at, [bad])), isRefused: false },
  { name: 'four crashes that another part shares', crashes: [0, 400, 800, 1200].map(at => crash(at, [bad, other])), isRefused: false },
  { name: 'six crashes that another part shares', crashes: [0, 400, 800, 1200, 1600, 2000].map(at => crash(at, [bad, other])), isRefused: true },
  { name: 'four crashes of which one request explains all', crashes: [0, 400, 800, 1200].map(at => crash(at, [bad, request])), isRefused: false },
  { name: 'four crashes beside those of another harmful part', crashes: [...[0, 400, 800, 1200].map(at => crash(at, [bad])), ...[100, 500, 900, 1300].map(at => crash(at, [other]))], isRefused: true },
  { name: 'four crashes of which two are at other software', crashes: [crash(0, [bad]), crash(400, [bad], 'v2'), crash(800, [bad], 'v2'), crash(1200, [bad])], isRefused: true }
]

for (const { name, crashes, isRefused } of cases) {
  test(`a part of prompts is ${isRefused ? 'refused' : 'sent on'} after ${name}`, () => {
    const watch = new CrashWatch(() => 12)
    for (const one of crashes) watch.merge({ ends: [one], entries: [] }, 60_000)
    assert.equal(watch.find(bad)?.state === 'refused', isRefused)
  })
}

test('a sound part is not refused for the crashes of two harmful ones that it shares requests with', () => {
  const watch = new CrashWatch(() => 12)
  const sound = composePartKey('camp')
  const runs = [[bad, sound], [other, sound], [bad, other, sound], [bad], [other], [bad], [other], [bad, other], [bad], [other]]
  runs.forEach((keys, i) => watch.merge({ ends: [crash(400 * i, keys)], entries: [] }, 60_000))
  assert.deepEqual([bad, other, sound].map(part => watch.find(part)?.state), ['refused', 'refused', undefined])
})

test('a request that is sent again is refused after three crashes, whatever parts it has', () => {
  const watch = new CrashWatch(() => 12)
  for (const at of [0, 400, 800]) watch.merge({ ends: [crash(at, [request, bad])], entries: [] }, 60_000)
  assert.equal(watch.find(request)?.state, 'refused')
})

test('a part that all requests share is cleared by any answer, and does not hide the harmful one', () => {
  const watch = new CrashWatch(() => 12)
  for (const at of [0, 400, 800]) {
    watch.merge({ ends: [crash(at, [system, bad])], entries: [] }, 60_000)
    watch.noteAnswered(system, label.v1, 60_000)
  }
  watch.merge({ ends: [crash(1200, [system, bad])], entries: [] }, 60_000)
  assert.equal(watch.find(system), undefined)
  assert.equal(watch.find(bad)?.state, 'refused')
})

test('answers of other software clear no evidence on a part, and it may go on there', () => {
  const watch = new CrashWatch(() => 12)
  for (const at of [0, 400, 800, 1200]) {
    watch.merge({ ends: [crash(at, [bad])], entries: [] }, 60_000)
    watch.noteAnswered(bad, label.v2, 60_000)
  }
  watch.noteAnswered(bad, label.v2, 60_000)
  assert.deepEqual(watch.decide(bad, () => new Set([label.v1, label.v2]), 60_000), { type: 'sound', labels: [label.v2] })
  assert.equal(watch.decide(bad, () => new Set([label.v1]), 60_000).type, 'refused')
})

test('a part that becomes sound is sent again after one answer', () => {
  const watch = new CrashWatch(() => 12)
  for (const at of [0, 400, 800, 1200]) watch.merge({ ends: [crash(at, [bad])], entries: [] }, 60_000)
  const { until } = watch.find(bad) ?? { until: 0 }
  assert.equal(watch.decide(bad, () => new Set([label.v1]), until).type, 'trial')
  watch.noteAnswered(bad, label.v1, until)
  assert.equal(watch.decide(bad, () => new Set([label.v1]), until).type, 'free')
})

test('an answer counts for some seconds, at the software that gave it', () => {
  const parts = new SoundParts()
  parts.noteAnswered([system], brandId('desk'), label.v1, 1000)
  assert.deepEqual([[label.v1, 1000], [label.v1, 11_000], [label.v1, 11_001], [label.v2, 1000]].map(([software, at]) => parts.has(system, software as string, at as number)), [true, true, false, false])
})

test('a part that all answered requests have is not refused, nor hides a harmful one', () => {
  const parts = new SoundParts()
  for (const one of [[system, other], [system, composePartKey('third')]]) parts.noteAnswered(one, brandId('desk'), label.v1, 1000)
  assert.deepEqual([system, other, bad].map(part => parts.judge(part, brandId('desk'), 2000)), ['unknown', 'doubtful', 'suspicious'])
  assert.equal(parts.judge(bad, brandId('another'), 2000), 'unknown')
  assert.equal(parts.judge(bad, brandId('desk'), 20_000), 'unknown')
  const watch = new CrashWatch(() => 12, part => part === system ? 'unknown' : 'suspicious')
  for (const at of [0, 400, 800, 1200, 1600, 2000]) watch.merge({ ends: [crash(at, at < 1600 ? [system, bad] : [system])], entries: [] }, 60_000)
  assert.deepEqual([system, bad].map(part => watch.find(part)?.state), [undefined, 'refused'])
})

test('a part that other software has answered lately is refused after six crashes', () => {
  const watch = new CrashWatch(() => 12, () => 'doubtful')
  const states = [0, 400, 800, 1200, 1600, 2000].map(at => {
    watch.merge({ ends: [crash(at, [bad])], entries: [] }, 60_000)
    return watch.find(bad)?.state
  })
  assert.deepEqual(states.map(state => state === 'refused'), [false, false, false, false, false, true])
})
