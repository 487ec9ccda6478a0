/** How many endpoints are wanted, in which zone and of which kind: each case is what a registry sees at one moment. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SizePlanner, brandId } from '../src/core/index.js'
import type { EndpointSizing, GroupWish, SizingSight, ZoneName, ZoneSight } from '../src/core/index.js'

const sizing: EndpointSizing = { least: 1, most: 8, bootMs: 4000, spotPrice: 0.22, zonePrices: new Map() }
const names = ['zone-a', 'zone-b', 'zone-c', 'zone-d']

function zones (ordinary: number, spot: number, more: Record<string, Partial<ZoneSight>> = {}): ZoneSight[] {
  return names.map(name => ({ zone: brandId<ZoneName>(name), ordinary, spot, ...more[name] }))
}

function look (at: number, more: Partial<SizingSight> = {}): SizingSight {
  return { at, sizing, slots: 12, zones: zones(1, 7), running: 0, heldMs: 0, ...more }
}

/** Wishes as "spot+ordinary" by zone. */
function tell (wishes: readonly GroupWish[]): string[] {
  return names.map(name => {
    const find = (isSpot: boolean): number => wishes.find(wish => wish.zone === name && wish.isSpot === isSpot)?.count ?? -1
    return `${find(true)}+${find(false)}`
  })
}

const cases: readonly { name: string, sights: readonly SizingSight[], wanted: readonly string[] }[] = [
  {
    name: 'before anything was seen, all that the bounds leave beside the ordinary ones that are there',
    sights: [look(0, { zones: zones(4, 0) })],
    wanted: ['4+4', '4+4', '4+4', '4+4']
  },
  {
    name: 'the ordinary ones go back once those that may be taken back serve',
    sights: [look(0, { zones: zones(4, 0) }), look(5000, { zones: zones(4, 4) }), look(6000, { zones: zones(4, 4) })],
    wanted: ['7+1', '7+1', '7+1', '7+1']
  },
  {
    name: 'a zone whose cheap ones don\'t come keeps its ordinary ones',
    sights: [look(0, { zones: zones(4, 0) }), look(5000, { zones: zones(4, 4, { 'zone-c': { spot: 0 } }) }), look(6000, { zones: zones(4, 4, { 'zone-c': { spot: 0 } }) })],
    wanted: ['7+1', '7+1', '4+4', '7+1']
  },
  {
    name: 'after some time by the most load of late, such that the other zones bear it without one',
    sights: [look(0, { running: 30 }), look(21_000, { running: 40 })],
    wanted: ['3+1', '3+1', '3+1', '3+1']
  },
  {
    name: 'a burst is remembered',
    sights: [look(0, { running: 30 }), look(10_000, { running: 400 }), look(25_000, { running: 20 })],
    wanted: ['7+1', '7+1', '7+1', '7+1']
  },
  {
    name: 'and forgotten',
    sights: [look(0, { running: 30 }), look(10_000, { running: 400 }), look(45_000, { running: 20 })],
    wanted: ['1+1', '1+1', '1+1', '1+1']
  },
  {
    name: 'callers that wait in boxes want all that may be had',
    sights: [look(0, { running: 30 }), look(25_000, { running: 20, heldMs: 900 })],
    wanted: ['7+1', '7+1', '7+1', '7+1']
  },
  {
    name: 'what a zone lost is wanted as before, and the ordinary one stays',
    sights: [look(0, { running: 30 }), look(21_000, { running: 40 }), look(22_000, { running: 40, zones: zones(1, 3, { 'zone-b': { spot: 0 } }) })],
    wanted: ['3+1', '3+1', '3+1', '3+1']
  },
  {
    name: 'where none may be taken back, ordinary ones alone',
    sights: [look(0, { sizing: { ...sizing, spotPrice: null }, running: 30 }), look(21_000, { sizing: { ...sizing, spotPrice: null }, running: 40 })],
    wanted: ['-1+4', '-1+4', '-1+4', '-1+4']
  },
  {
    name: 'a least that is above all needs',
    sights: [look(0, { sizing: { ...sizing, least: 3 }, running: 1 }), look(21_000, { sizing: { ...sizing, least: 3 }, running: 1 })],
    wanted: ['2+1', '2+1', '2+1', '2+1']
  }
]

for (const { name, sights, wanted } of cases) {
  test(name, () => {
    const planner = new SizePlanner(brandId('desk'))
    let wishes: GroupWish[] = []
    for (const sight of sights) wishes = planner.plan(sight)
    assert.deepEqual(tell(wishes), wanted)
    for (const { zone, count } of wishes) assert.ok(count >= 0 && count <= sizing.most, `${zone} ${count}`)
  })
}
