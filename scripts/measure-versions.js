/** Measures streams at endpoints of several software versions, a line for each case. `npm run build` first; argument: the length of a case, s. */
import { VersionRun } from '../dist/test/support/version-run.js'

const ms = 1000 * Number(process.argv[2] ?? 20)
const sideBySide = Array.from({ length: 12 }, (_, i) => i % 2 === 0 ? 'v1' : 'v2')
const shape = { number: 147, gateways: 8, versions: sideBySide, ms }
const cases = [
  ['both versions side by side', {}],
  ['gateways killed', { kills: true }],
  ['roll-out', { versions: Array.from({ length: 12 }, () => 'v1'), rollOut: true }],
  ['gateways killed, three cut off', { kills: true, cut: 3 }],
  ['endpoints come back with another version or none', { versions: sideBySide.map((version, i) => i % 3 === 0 ? '' : version), swaps: true, kills: true }],
  ['one version, gateways killed', { versions: Array.from({ length: 12 }, () => 'v1'), kills: true }]
]
for (const [name, more] of cases) {
  console.log(name, JSON.stringify(await VersionRun.play({ ...shape, ...more })))
}
