/**
 * Measures what the checks for second sends cost a gateway: 300 streams of one service at 60 and 600 endpoints, of which
 * none, half or all fall silent, with its retry budget; 40 ms between checks, 4 s of virtual time.
 * After `npm run build`: node scripts/measure-second-sends.js
 */
import { StalledStreams } from '../dist/test/support/stalled-streams.js'

const tickMs = 40
const lengthMs = 4000
const cases = [
  { name: 'no silence', silentShare: 0 },
  { name: 'all silent', silentShare: 1 },
  { name: 'half silent', silentShare: 0.5 },
  { name: 'half silent, retries as good as unlimited', silentShare: 0.5, extraRetries: 100_000 },
  { name: 'half silent, all full', silentShare: 0.5, isFull: true }
]

function measure (shape) {
  const streams = new StalledStreams({ streams: 300, extraRetries: 50, ...shape })
  const costs = []
  for (let now = tickMs; now <= lengthMs; now += tickMs) {
    const startedAt = performance.now()
    streams.check(now)
    costs.push(performance.now() - startedAt)
  }
  const sum = costs.reduce((total, ms) => total + ms, 0)
  return `${(sum / costs.length).toFixed(2)} ms a check, ${Math.max(...costs).toFixed(1)} ms at most, ${(100 * sum / lengthMs).toFixed(1)}% of a core; ${streams.sends} sends, ${streams.choices} choices`
}

for (const { name, ...shape } of cases) {
  for (const endpoints of [60, 600]) {
    measure({ ...shape, endpoints })
    console.log(`${name}, ${endpoints} endpoints: ${measure({ ...shape, endpoints })}`)
  }
}
