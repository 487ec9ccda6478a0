import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VersionRun } from './support/version-run.js'
import type { VersionShape } from './support/version-run.js'

const shape = { gateways: 8, ms: 8000, kills: true }
const sideBySide = Array.from({ length: 12 }, (_, i) => i % 2 === 0 ? 'v1' : 'v2')
const cases: readonly (VersionShape & { readonly name: string })[] = [
  { ...shape, number: 147, name: 'gateways are cut off from the registries, and others are killed', versions: sideBySide, cut: 3 },
  { ...shape, number: 148, name: 'a version is rolled out, and gateways are killed', versions: sideBySide.map(() => 'v1'), rollOut: true },
  { ...shape, number: 141, name: 'endpoints come back at their addresses with another version or none, and gateways are killed', versions: sideBySide.map((version, i) => i % 3 === 0 ? '' : version), swaps: true }
]
/** Requests for the rest of a stream from which on their share is checked, and the least share of that of new streams. */
const minTakenUp = 12
const minShare = 0.5

for (const { name, ...one } of cases) {
  test(`streams held events of several software versions while ${name}`, async () => {
    const { mixedAnswers, mixedStreams, brokenOrders, connected: { takenUp, wentOn }, sent, begun, failures } = await VersionRun.play(one)
    assert.deepEqual({ mixedAnswers, mixedStreams, brokenOrders }, { mixedAnswers: 0, mixedStreams: 0, brokenOrders: 0 })
    assert.equal(failures['begun elsewhere: 503 stream-unknown'] ?? 0, 0)
    assert.ok(takenUp < minTakenUp || wentOn / takenUp >= minShare * begun / sent, `${wentOn} of ${takenUp} went on, ${begun} of ${sent} began: ${JSON.stringify(failures)}`)
  })
}
