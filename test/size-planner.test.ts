/** Target numbers of endpoints by zone and kind. Each case is a sequence of inputs; the targets after the last one are checked. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SizePlanner, brandId } from '../src/core/index.js'
import type { EndpointSizing, GroupTarget, SizingInput, ZoneName, ZoneEndpoints } from '../src/core/index.js'

const sizing: EndpointSizing = { least: 1, most: 8, bootMs: 4000, spotPrice: 0.22, zonePrices: new Map() }
const names = ['zone-a', 'zone-b', 'zone-c', 'zone-d']

function listZones (ordinary: number, spot: number, more: Record<string, Partial<ZoneEndpoints>> = {}): ZoneEndpoints[] {
  return names.map(name => ({ zone: brandId<ZoneName>(name), onDemand: ordinary, spot, ...more[name] }))
}

function createInput (at: number, more: Partial<SizingInput> = {}): SizingInput {
  return { at, sizing, slots: 12, zones: listZones(1, 7), running: 0, backlogMs: 0, ...more }
}

/** Targets as "spot+on-demand" by zone. */
function formatTargets (targets: readonly GroupTarget[]): string[] {
  return names.map(name => {
    const findCount = (isSpot: boolean): number => targets.find(target => target.zone === name && target.isSpot === isSpot)?.count ?? -1
    return `${findCount(true)}+${findCount(false)}`
  })
}

const cases: readonly { name: string, inputs: readonly SizingInput[], expected: readonly string[] }[] = [
  {
    name: 'without observed load, the maximum within the bounds next to the existing on-demand endpoints',
    inputs: [createInput(0, { zones: listZones(4, 0) })],
    expected: ['4+4', '4+4', '4+4', '4+4']
  },
  {
    name: 'on-demand endpoints are released once spot endpoints serve',
    inputs: [createInput(0, { zones: listZones(4, 0) }), createInput(5000, { zones: listZones(4, 4) }), createInput(6000, { zones: listZones(4, 4) })],
    expected: ['7+1', '7+1', '7+1', '7+1']
  },
  {
    name: 'a zone whose spot endpoints do not start keeps its on-demand ones',
    inputs: [createInput(0, { zones: listZones(4, 0) }), createInput(5000, { zones: listZones(4, 4, { 'zone-c': { spot: 0 } }) }), createInput(6000, { zones: listZones(4, 4, { 'zone-c': { spot: 0 } }) })],
    expected: ['7+1', '7+1', '4+4', '7+1']
  },
  {
    name: 'after warm-up, enough for the recent peak load without one zone',
    inputs: [createInput(0, { running: 30 }), createInput(21_000, { running: 40 })],
    expected: ['3+1', '3+1', '3+1', '3+1']
  },
  {
    name: 'a recent burst still counts',
    inputs: [createInput(0, { running: 30 }), createInput(10_000, { running: 400 }), createInput(25_000, { running: 20 })],
    expected: ['7+1', '7+1', '7+1', '7+1']
  },
  {
    name: 'an old burst no longer counts',
    inputs: [createInput(0, { running: 30 }), createInput(10_000, { running: 400 }), createInput(45_000, { running: 20 })],
    expected: ['1+1', '1+1', '1+1', '1+1']
  },
  {
    name: 'a backlog in the boxes requests the maximum',
    inputs: [createInput(0, { running: 30 }), createInput(25_000, { running: 20, backlogMs: 900 })],
    expected: ['7+1', '7+1', '7+1', '7+1']
  },
  {
    name: 'lost spot endpoints are requested again, and the on-demand one remains',
    inputs: [createInput(0, { running: 30 }), createInput(21_000, { running: 40 }), createInput(22_000, { running: 40, zones: listZones(1, 3, { 'zone-b': { spot: 0 } }) })],
    expected: ['3+1', '3+1', '3+1', '3+1']
  },
  {
    name: 'without spot endpoints, on-demand ones only',
    inputs: [createInput(0, { sizing: { ...sizing, spotPrice: null }, running: 30 }), createInput(21_000, { sizing: { ...sizing, spotPrice: null }, running: 40 })],
    expected: ['-1+4', '-1+4', '-1+4', '-1+4']
  },
  {
    name: 'a lower bound above the demand',
    inputs: [createInput(0, { sizing: { ...sizing, least: 3 }, running: 1 }), createInput(21_000, { sizing: { ...sizing, least: 3 }, running: 1 })],
    expected: ['2+1', '2+1', '2+1', '2+1']
  }
]

for (const { name, inputs, expected } of cases) {
  test(name, () => {
    const planner = new SizePlanner(brandId('desk'))
    let targets: GroupTarget[] = []
    for (const input of inputs) targets = planner.plan(input)
    assert.deepEqual(formatTargets(targets), expected)
    for (const { zone, count } of targets) assert.ok(count >= 0 && count <= sizing.most, `${zone} ${count}`)
  })
}
