/**
 * What the words about ends of endpoints cost: bytes of one, time to take it in
 * and decide, time to look a request up, digests of bodies, and full tables.
 * After `npm run build`: node --expose-gc scripts/measure-crashes.js
 */
import { createHash } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import { CrashWatch } from '../dist/src/core/index.js'
import { encodeValue } from '../dist/src/protocol/link.js'

const runsOfAnEnd = 20
const rounds = 200

function composeEnd (number) {
  const runs = Array.from({ length: runsOfAnEnd }, (_, i) => [createHash('sha256').update(`${number} ${i}`).digest('base64url').slice(0, 16), 50 + i])
  return { endpoint: `i-${String(number).padStart(10, '0')}`, born: 1796249564454 + number, service: 'assistant', software: 'v1', ageMs: 3, runs }
}

function time (count, run) {
  const startedAt = performance.now()
  for (let i = 0; i < count; i++) run(i)
  return (performance.now() - startedAt) * 1000 / count
}

function show (name, value, unit) { console.log(`${name.padEnd(58)} ${value.toFixed(1)} ${unit}`) }

global.gc?.()
const before = process.memoryUsage().heapUsed
const watch = new CrashWatch(() => 100)
const ends = Array.from({ length: rounds }, (_, i) => composeEnd(i))
show(`bytes of a word about one end, ${runsOfAnEnd} requests`, encodeValue({ type: 'crashes', news: { ends: [ends[0]], entries: [] } }).length, 'B')
show('taking in such a word and deciding, 200 ends kept at last', time(rounds, i => watch.merge({ ends: [ends[i]], entries: [] }, i)), 'µs')
show('looking up a request with 200 ends kept', time(20_000, i => watch.rule(`unknown-${i % 100}`, () => new Set(['assistant v1']), rounds)), 'µs')
for (let i = 0; i < 1000; i++) watch.merge({ ends: [], entries: [{ fingerprint: `fingerprint-${i}`, round: 1, state: 'refused', service: 'assistant', ended: ['assistant v1'], sound: [], ends: 3, weight: 18, leftMs: 600_000 }] }, rounds)
global.gc?.()
show('memory of 200 ends of 20 requests and 1,000 in quarantine', (process.memoryUsage().heapUsed - before) / 1024, 'KB')
const body = Buffer.alloc(50_000, 'x')
show('digest of a body of 50 KB', time(2000, () => createHash('sha256').update(body).digest()), 'µs')
show('bytes of everything, for a box that starts', encodeValue({ type: 'crashes', news: watch.list(rounds) }).length / 1024, 'KB')
