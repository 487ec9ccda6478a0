/**
 * Replays calls of several workspaces to a plain service through the fleets of some boxes, whose totals lag. An endpoint
 * refuses calls while its slots are taken; a call goes to at most two of them, or waits in its box as the box decides, or waits
 * for a free slot in an ideal queue. No caller returns.
 */
import { ContentionSwitch, Fleet, LoadTable, brandId, subtractOwn } from '../../src/core/index.js'
import type { BoxLoad, PlacedRequest, EndpointView, RequestProfile, WorkspaceName } from '../../src/core/index.js'
import { createRecord, createWork, engineService, nameZone } from './fleet-builder.js'
import { createRandom } from '../../src/runtime/index.js'

export interface ModelWorkspace {
  readonly name: string
  /** Calls a second at a time. */
  readonly rate: (at: number) => number
  /** The boxes that it uses; all if absent. */
  readonly boxes?: readonly number[]
}

export interface ShareShape {
  readonly workspaces: readonly ModelWorkspace[]
  readonly boxes: number
  readonly endpoints: number
  readonly slots: number
  readonly answerMs: number
  /** Age of the totals, ms; Infinity if none arrive. */
  readonly lagMs: number
  /** Boxes that hear no hub and are heard by none. */
  readonly hubless?: readonly number[]
  readonly lengthMs: number
  readonly mode?: 'off' | 'on'
  /** Longest wait of a call for a free slot, ms; absent if calls are sent to any endpoint and refused by full ones. */
  readonly maxWaitMs?: number
}

/** Calls of one workspace: all, and those answered, refused on arrival, or not served by full endpoints. */
export type WorkspaceCount = Record<'calls' | 'answered' | 'refused' | 'full', number>

interface Waiting { readonly fleet: Fleet, readonly at: number, readonly add: (key: keyof WorkspaceCount) => void }
interface Searching extends Waiting { readonly work: RequestProfile, refusals: number }
interface Running { readonly view: EndpointView, readonly placed: PlacedRequest, readonly endsAt: number, readonly endpoint: string }

const tickMs = 2
const reportMs = 25

/** Replays the calls; counts those that arrive between `from` and `until`, by workspace. */
export function replayShares (shape: ShareShape, seed: number, from = 0, until = shape.lengthMs): Map<string, WorkspaceCount> {
  const random = createRandom(seed)
  const records = Array.from({ length: shape.endpoints }, (_, i) => createRecord(`e${i + 1}`, { slots: shape.slots }))
  const fleets = Array.from({ length: shape.boxes }, () => {
    const fleet = new Fleet(nameZone('zone-a'), undefined, undefined, new ContentionSwitch({ mode: shape.mode ?? 'on', cpuShare: null, isMarked: false }))
    fleet.configure([{ ...engineService, engine: null }])
    fleet.applyRecords(records)
    fleet.noteBoxes(shape.boxes)
    return fleet
  })
  const counts = new Map<string, WorkspaceCount>(shape.workspaces.map(({ name }) => [name, { calls: 0, answered: 0, refused: 0, full: 0 }]))
  const taken = new Map<string, number>()
  const sent: { at: number, loads: BoxLoad[] }[] = []
  let running: Running[] = []
  let waiting: Waiting[] = []
  let searching: Searching[] = []

  const call = (workspace: ModelWorkspace, at: number): void => {
    const boxes = workspace.boxes ?? fleets.map((_, i) => i)
    const fleet = fleets[boxes[Math.floor(random() * boxes.length)]]
    const work = createWork({ workspace: brandId<WorkspaceName>(workspace.name) })
    const count = counts.get(workspace.name) as WorkspaceCount
    const add = (key: keyof WorkspaceCount): void => { if (at >= from && at < until) count[key] += 1 }
    add('calls')
    fleet.noteArrival(work, at)
    if ((fleet.admit(work, at)?.retryAfterMs ?? null) !== null) return add('refused')
    if (shape.maxWaitMs !== undefined) return void waiting.push({ fleet, at, add })
    const one: Searching = { fleet, work, at, add, refusals: 0 }
    if (!search(one, at)) {
      searching.push(one)
      fleet.noteQueued(work, true)
    }
  }

  // Tries endpoints as the box chooses them; false if the call waits for a free slot.
  const search = (one: Searching, at: number): boolean => {
    const { fleet, work, add } = one
    for (; one.refusals < 2; one.refusals += 1) {
      const choice = fleet.choose(work, [], at, random(), at - one.at)
      if (choice === 'later') return false
      if (typeof choice === 'string') break
      const { view } = choice
      if (run(view, at)) {
        add('answered')
        return true
      }
      view.noteRefused(at)
      if (fleet.contention.isOn) fleet.plain.noteRefused(view, work, at)
    }
    add('full')
    return true
  }

  const run = (view: EndpointView, at: number): boolean => {
    if ((taken.get(view.id) ?? 0) >= shape.slots) return false
    taken.set(view.id, (taken.get(view.id) ?? 0) + 1)
    running.push({ view, placed: view.place(createWork(), { readTokens: 0, fetch: null }, at), endsAt: at + shape.answerMs * (0.5 + random()), endpoint: view.id })
    return true
  }

  // Calls in order of arrival, each to the first endpoint with a free slot.
  const serveWaiting = (at: number): void => {
    waiting = waiting.filter(({ fleet, at: since, add }) => {
      if (at - since > (shape.maxWaitMs ?? 0)) return void add('full')
      if (![...fleet.views].some(view => run(view, at))) return true
      add('answered')
      return false
    })
  }

  for (let at = 0; at < shape.lengthMs; at += tickMs) {
    for (const { view, placed, endsAt, endpoint } of running) {
      if (endsAt > at) continue
      view.noteFirst(placed, at)
      view.remove(placed, at)
      taken.set(endpoint, (taken.get(endpoint) ?? 1) - 1)
    }
    running = running.filter(one => one.endsAt > at)
    serveWaiting(at)
    searching = searching.filter(one => {
      if (!search(one, at)) return true
      one.fleet.noteQueued(one.work, false)
      return false
    })
    if (at % reportMs < tickMs) sent.push({ at, loads: fleets.map(fleet => fleet.composeLoad(at)) })
    for (; sent.length > 0 && at - sent[0].at >= shape.lagMs; sent.shift()) deliver(sent[0].loads, at)
    for (const workspace of shape.workspaces) {
      for (let expected = workspace.rate(at) * tickMs / 1000; expected > 0; expected -= 1) if (random() < expected) call(workspace, at)
    }
  }
  return counts

  function deliver (loads: readonly BoxLoad[], at: number): void {
    const table = new LoadTable()
    const heard = fleets.map((fleet, i) => ({ fleet, load: loads[i], box: i })).filter(({ box }) => shape.hubless?.includes(box) !== true)
    for (const { load, box } of heard) table.note(brandId(`box-${box}`), nameZone('zone-a'), load, at)
    for (const { fleet, load } of heard) fleet.noteOthers(subtractOwn(table.sumOwn(at), load), at)
  }
}
