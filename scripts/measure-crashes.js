/**
 * Measures the cost of crash tracking: size of a crash report, time to merge it
 * and decide, time to look up a request, digests of bodies, and full tables.
 * After `npm run build`: node --expose-gc scripts/measure-crashes.js
 */
import { createHash } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import { CrashWatch } from '../dist/src/core/index.js'
import { encodeValue } from '../dist/src/protocol/link.js'

const requestsPerCrash = 20
const crashCount = 200

function composeCrash (number) {
  const runs = Array.from({ length: requestsPerCrash }, (_, i) => [createHash('sha256').update(`${number} ${i}`).digest('base64url').slice(0, 16), 50 + i])
  return { endpoint: `i-${String(number).padStart(10, '0')}`, born: 1796249564454 + number, service: 'assistant', software: 'v1', ageMs: 3, runs }
}

function measureUs (count, run) {
  const startedAt = performance.now()
  for (let i = 0; i < count; i++) run(i)
  return (performance.now() - startedAt) * 1000 / count
}

function printRow (name, value, unit) { console.log(`${name.padEnd(58)} ${value.toFixed(1)} ${unit}`) }

global.gc?.()
const before = process.memoryUsage().heapUsed
const watch = new CrashWatch(() => 100)
const crashes = Array.from({ length: crashCount }, (_, i) => composeCrash(i))
printRow(`size of a report on one crash, ${requestsPerCrash} requests`, encodeValue({ type: 'crashes', news: { ends: [crashes[0]], entries: [] } }).length, 'B')
printRow('merging such a report and deciding, up to 200 crashes kept', measureUs(crashCount, i => watch.merge({ ends: [crashes[i]], entries: [] }, i)), 'µs')
printRow('looking up a request with 200 crashes kept', measureUs(20_000, i => watch.rule(`unknown-${i % 100}`, () => new Set(['assistant v1']), crashCount)), 'µs')
for (let i = 0; i < 1000; i++) watch.merge({ ends: [], entries: [{ fingerprint: `fingerprint-${i}`, round: 1, state: 'refused', service: 'assistant', ended: ['assistant v1'], sound: [], ends: 3, weight: 18, leftMs: 600_000 }] }, crashCount)
global.gc?.()
printRow('memory of 200 crashes of 20 requests, 1,000 quarantined', (process.memoryUsage().heapUsed - before) / 1024, 'KB')
const body = Buffer.alloc(50_000, 'x')
printRow('digest of a body of 50 KB', measureUs(2000, () => createHash('sha256').update(body).digest()), 'µs')
printRow('size of the full state, for a starting box', encodeValue({ type: 'crashes', news: watch.list(crashCount) }).length / 1024, 'KB')
