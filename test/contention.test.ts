import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { gatewayFields, parseToml, registryFields } from '../src/config/index.js'
import type { GatewaySettings } from '../src/config/index.js'
import { ContentionSwitch, LoadSum } from '../src/core/index.js'
import type { ContentionMode, CpuRange } from '../src/core/index.js'
import { createContentionSwitch } from '../src/registry/registry-dependencies.js'
import { platformDialect } from '../platform/dialect.js'
import { createFleet, createLoad, createRecord, createWork, desk } from './support/fleet-builder.js'

interface SwitchCase {
  readonly name: string
  readonly mode: ContentionMode
  readonly cpuShare?: number
  readonly isMarked?: boolean
  /** Ranges of the other boxes, in the order in which they are received. */
  readonly others?: readonly (CpuRange | undefined)[]
  readonly reason: ContentionSwitch['reason']
}

const switchCases: readonly SwitchCase[] = [
  { name: 'settings that say nothing, beside different boxes', mode: 'off', cpuShare: 0.2, isMarked: true, others: [[0.2, 0.8]], reason: null },
  { name: 'settings that turn them on', mode: 'on', reason: 'settings' },
  { name: 'a marked deployment', mode: 'auto', isMarked: true, reason: 'feature' },
  { name: 'boxes that are alike', mode: 'auto', cpuShare: 0.32, others: [[0.3, 0.35], undefined], reason: null },
  { name: 'boxes that differ', mode: 'auto', cpuShare: 0.24, others: [[0.24, 0.81]], reason: 'uneven-boxes' },
  { name: 'boxes that differed before the totals were lost', mode: 'auto', cpuShare: 0.24, others: [[0.24, 0.81], undefined, [0.24, 0.24]], reason: 'uneven-boxes' },
  { name: 'a box of unknown size', mode: 'auto', others: [[0.24, 0.81]], reason: null }
]

for (const { name, mode, cpuShare = null, isMarked = false, others = [], reason } of switchCases) {
  test(`measures against contention: ${name}`, () => {
    const contention = new ContentionSwitch({ mode, cpuShare, isMarked })
    for (const range of others) contention.note(range)
    assert.equal(contention.reason, reason)
  })
}

test('hubs join the CPU shares of boxes, also of those that report none', () => {
  const sum = new LoadSum()
  const createDemand = (boxCpu?: CpuRange) => ({ service: desk, patient: 1, brisk: 0, apart: 0, base: 0, readingPauseMs: null, held: [], holders: 0, ...(boxCpu === undefined ? {} : { boxCpu }) })
  for (const range of [[0.24, 0.24], undefined, [0.81, 0.81]] as const) sum.add({ loads: [], demands: [createDemand(range)], gaps: [], zones: [] })
  assert.deepEqual(sum.totals.demands[0].boxCpu, [0.24, 0.81])
})

test('a box whose settings do not ask for the measures reports no CPU share', () => {
  const fleet = createFleet([createRecord('e1')])
  fleet.noteArrival(createWork(), 0)
  assert.equal(fleet.composeLoad(1).demands.some(demand => 'boxCpu' in demand), false)
  assert.equal(createLoad(1).demands.length, 0)
})

// Guards against a new table that every deployment's settings must name: its gateways don't start.
test('settings without the new tables are valid and leave the measures off', () => {
  const parsed = parseToml('id = "g"\nzone = "z"\nhost = "10.0.0.1"\nlinkPort = 1\nloadPort = 2\nseeds = []\nlisten = "10.0.0.1:3"\nready = "10.0.0.1:4"\n[retries]\n', gatewayFields)
  assert.ok(parsed.ok, JSON.stringify(parsed))
  const { contention, box, features } = parsed.value as unknown as GatewaySettings
  assert.deepEqual({ contention, box, features }, { contention: { mode: 'off' }, box: null, features: [] })
})
// Guards against programs that refuse to start with settings from before `[contention]`, as those of the build do.
for (const [program, fields] of [['gateway', gatewayFields], ['registry', registryFields]] as const) {
  test(`settings of a ${program} that name no measures are valid and turn them off`, () => {
    const parsed = parseToml(readFileSync(`deploy/compile-${program}.toml`, 'utf8'), fields)
    assert.ok(parsed.ok)
    assert.deepEqual([parsed.value.contention, parsed.value.features], [{ mode: 'off' }, []])
  })
}

// Guards against registries that order by price where nobody asked for it, or don't where the platform marks the deployment.
for (const [mode, features, reason] of [['auto', ['pressure'], 'feature'], ['auto', ['other'], null], ['off', ['pressure'], null], ['on', [], 'settings']] as const) {
  test(`orders by price at a registry: mode ${mode}, features ${features.join()}`, () => {
    const logged: string[] = []
    const log = { info: (event: string) => logged.push(event) }
    assert.equal(createContentionSwitch({ contention: { mode }, features } as never, { dialect: platformDialect, log } as never).reason, reason)
    assert.equal(logged.length, reason === null ? 0 : 1)
  })
}
