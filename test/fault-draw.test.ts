import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../src/runtime/index.js'
import { drawFaults } from '../src/soak/index.js'
import type { SoakFault, TimedFault } from '../src/soak/index.js'

const shape = { registries: 3, gateways: 3, endpoints: 4, engines: 0, crashers: 0, notices: false }
const recoveryMs = 6000

function isWipe ({ fault }: TimedFault): boolean { return fault.target === 'registry' && fault.action.type === 'wipe' }

// Duration of a fault of the registries or their links, ms; null for other faults.
function measureFaultMs (fault: SoakFault): number | null {
  switch (fault.target) {
    case 'registry': return fault.action.type === 'reload' ? null : fault.action.ms
    case 'registries':
    case 'link': return fault.ms
    default: return null
  }
}

// Guards against soak runs that fail for a loss that replication can't survive: 0.6 s after a registry was back with an empty disk, its
// link was reset and all registries were killed; a second later another disk was lost, before the first registry had caught up. That
// loses two disks of three.
test('a second disk is lost only after the first registry had undisturbed time to catch up', () => {
  let pairs = 0
  for (let seed = 1; seed <= 400; seed++) {
    const faults = drawFaults(createRandom(seed * 1_000_003), shape, 40_000)
    const wipes = faults.filter(isWipe)
    for (let i = 1; i < wipes.length; i++) {
      pairs += 1
      const [first, second] = [wipes[i - 1], wipes[i]]
      const backAt = first.at + (measureFaultMs(first.fault) ?? 0)
      const ends = faults.filter(one => one.at >= first.at && one.at <= backAt + recoveryMs).flatMap(one => {
        const ms = measureFaultMs(one.fault)
        return ms === null ? [] : [one.at + ms]
      })
      const quietFrom = Math.max(...ends)
      assert.ok(second.at - quietFrom > recoveryMs, `seed ${seed}: lost at ${first.at}, disturbed until ${quietFrom}, lost again at ${second.at}`)
    }
  }
  assert.ok(pairs > 30, `${pairs} pairs`)
})
