/**
 * Measures what callers get while endpoints fall silent and go on: three
 * registries, eight gateways, twelve endpoints of 16 slots in one process, 50
 * requests per second for 24 s, a silence every 6 s.
 * After `npm run build`: node scripts/measure-silences.js [CASE ...]
 */
import { SilenceRun, countCalls } from '../dist/test/support/silence-run.js'

const everyMs = [6000, 12_000, 18_000]
const plan = (share, ms) => everyMs.map(atMs => ({ atMs, share, ms }))
const documentsAtMs = everyMs.map(at => at - 400)
const cases = {
  none: { silences: [], documentsAtMs },
  all: { silences: plan(1, 1200), documentsAtMs },
  some: { silences: plan(0.6, 1200), documentsAtMs },
  long: { silences: plan(1, 3000), documentsAtMs },
  quiet: { silences: plan(1, 1200) },
  retries: { silences: plan(1, 1200), documentsAtMs, retries: { ratio: 1, extra: 4000, windowSeconds: 10 } },
  spent: { silences: plan(0.6, 1200), documentsAtMs, retries: { ratio: 0, extra: 0, windowSeconds: 10 } },
  turns: { silences: [...Array(6)].flatMap((_, i) => [{ atMs: 4000 + 3000 * i, share: 1 / 3, from: 4 * (i % 3), ms: 1500 }]), documentsAtMs },
  twice: { silences: everyMs.flatMap(atMs => [{ atMs, share: 1, ms: 1000 }, { atMs: atMs + 1300, share: 1, ms: 1000 }]), documentsAtMs },
  lasting: { silences: [{ atMs: 6000, share: 0.4, ms: 60_000 }] }
}
const names = process.argv.slice(2)
for (const name of names.length > 0 ? names : Object.keys(cases)) {
  const run = await SilenceRun.start({ number: 62, gateways: 8, endpoints: 12, slots: 16, perSecond: 50, lengthMs: 24_000, ...cases[name] })
  const calls = await run.play()
  const { whole, refused, secondRuns } = countCalls(calls)
  console.log(`${name}: resumable ${whole.resume}, not resumable ${whole.stream}, plain ${whole.again}; met none, refused ${refused}; second runs ${secondRuns}`)
  if (process.env.LINES !== undefined) for (const line of run.deployment.lines) if (/event=(exchange|endpoint-|paths|routes-in-force)/.test(line)) console.log(line)
  await run.stop()
}
process.exit(0)
