/** Costs of messages between boxes: membership, loads, requests placed by other boxes, and configuration. */
import { Membership, defaultMembershipTuning } from '../coordination/index.js'
import type { Change, Member, MemberEffect, MemberMessage } from '../coordination/index.js'
import { ConfigFollower } from '../tasks/index.js'
import { brandId } from '../core/index.js'
import type { BoxId, ClassName, EngineId, ModelName, RequestId, ShardId, Submission, WorkspaceName } from '../core/index.js'
import { encodeValue, packLoad } from '../protocol/index.js'
import type { BoxMessage, BoxStatus } from '../protocol/index.js'
import { createRandom } from '../runtime/index.js'
import { measureSlope } from './slope.js'
import type { Slope } from './slope.js'
import { measureMedianUs, measureHeapBytes } from './timing.js'
import { performance } from 'node:perf_hooks'

const authTagBytes = 16
const udpIpHeaderBytes = 28
const tcpOverheadBytes = 44
const tickMs = 50
const warmUpMs = 120_000
const measuredMs = 30_000

interface GroupCost {
  readonly bytesPerSecond: number
  readonly coreShare: number
}

/** Runs a stable group of members in virtual time; returns the traffic (in and out) and CPU time of one node. */
function simulateGroup (size: number): GroupCost {
  const random = createRandom(size)
  const nodes: Membership[] = []
  for (let i = 0; i < size; i++) {
    const self: Member = { id: `entry-${i}`, incarnation: 1_796_213_637_769, zone: `zone-${i % 15}`, host: '10.0.0.1', port: i, state: 'alive', version: 0 }
    nodes.push(new Membership(self, [{ host: '10.0.0.1', port: 0 }, { host: '10.0.0.1', port: 1 }], defaultMembershipTuning, random))
  }
  let inTransit: { readonly to: number, readonly message: MemberMessage }[] = []
  let bytes = 0
  let isMeasuring = false
  const perform = (effects: readonly MemberEffect[]): void => {
    for (const effect of effects) {
      if (effect.type !== 'send') continue
      if (isMeasuring) bytes += encodeValue(effect.message).length + authTagBytes + udpIpHeaderBytes
      inTransit.push({ to: effect.to.port, message: effect.message })
    }
  }
  let startedAt = 0
  for (let now = tickMs; now <= warmUpMs + measuredMs; now += tickMs) {
    if (now === warmUpMs + tickMs) {
      isMeasuring = true
      startedAt = performance.now()
    }
    const delivered = inTransit
    inTransit = []
    for (const { to, message } of delivered) perform(nodes[to].step({ type: 'receive', at: now, message }))
    for (const node of nodes) perform(node.step({ type: 'tick', at: now }))
  }
  // Each datagram is sent by one node and received by another.
  return { bytesPerSecond: 2 * bytes / size / (measuredMs / 1000), coreShare: (performance.now() - startedAt) / size / measuredMs }
}

/** Membership traffic and CPU time of a node by number of members. */
export function measureMembers (sizes: readonly number[]): readonly [Slope, Slope] {
  const costs = new Map(sizes.map(size => [size, simulateGroup(size)]))
  const findCost = (size: number): GroupCost => costs.get(size) as GroupCost
  return [
    measureSlope('member-bytes', 'members', 'bytes/s a node, in and out', sizes, size => findCost(size).bytesPerSecond),
    measureSlope('member-core', 'members', '% of a core a node', sizes, size => findCost(size).coreShare * 100)
  ]
}

function countFrameBytes (message: BoxMessage): number {
  return encodeValue([1_796_213_637_769, 3, [message]]).length + authTagBytes + 4 + tcpOverheadBytes
}

const shard = brandId<ShardId>('steppe/zone-12/3')
const request = brandId<RequestId>('entry-123-mx63812v-1a2')

/** Bytes of one `loads` message by workspaces that are active on a box. */
export function measureLoads (sizes: readonly number[]): Slope {
  return measureSlope('loads-bytes', 'active workspaces of a box', 'bytes a message', sizes, count => {
    const demands = Array.from({ length: count }, (_, i) => [brandId<WorkspaceName>(`workspace-${i}`), 1.234] as const)
    const load = packLoad(shard, { places: 256, quick: 100, patient: 20, queued: 3, queuedPatient: 17 })
    return countFrameBytes({ type: 'loads', loads: [load], demands })
  })
}

/** Bytes of all messages for one request that is placed by another box. */
export function measureRemoteRequest (): number {
  const submission: Submission = {
    request,
    attempt: 100,
    box: brandId<BoxId>('entry-123'),
    class: brandId<ClassName>('pitch-question'),
    workspace: brandId<WorkspaceName>('workspace-1234'),
    model: brandId<ModelName>('steppe-small'),
    promptTokens: 500,
    prefix: 'abcdefghijklmnop',
    deadline: 123_456.789,
    exclude: [],
    resumed: false
  }
  const messages: BoxMessage[] = [
    { type: 'shard-word', shard, word: { type: 'submit', submission, leftMs: 399.25 } },
    { type: 'shard-answer', shard, answer: { type: 'grant', box: submission.box, request, attempt: 100, engine: brandId<EngineId>('engine-12345'), priority: 0 } },
    { type: 'shard-word', shard, word: { type: 'firstToken', request, attempt: 100 } },
    { type: 'shard-word', shard, word: { type: 'end', request, attempt: 100, how: 'done', tokens: 60 } }
  ]
  return messages.reduce((sum, message) => sum + countFrameBytes(message), 0)
}

function composeWorkspace (i: number): unknown {
  return { keys: ['a'.repeat(64)], defaultClass: 'pitch-question', requestsPerSecond: 10 + i, tokensPerMinute: 100_000, streams: 20 }
}

function composeChange (i: number): Change {
  return { section: 'workspaces', name: `workspace-${i}`, before: composeWorkspace(i), after: composeWorkspace(i + 1) }
}

function createFollower (workspaces: number): ConfigFollower {
  const follower = new ConfigFollower('', () => {})
  const items = Object.fromEntries(Array.from({ length: workspaces }, (_, i) => [`workspace-${i}`, composeWorkspace(i)]))
  const engines = Object.fromEntries(Array.from({ length: workspaces * 2.5 }, (_, i) => [`engine-${i}`, { pool: 'steppe', zone: `zone-${i % 15}`, host: '10.0.0.1', port: 8000, checksFencing: true, leaving: false }]))
  follower.replaceDocument({ workspaces: items, engines, classes: {}, pools: {}, services: {} }, 1)
  return follower
}

/** Time to apply one configuration change on a box by workspaces, µs. */
export function measureChangeTime (sizes: readonly number[]): Slope {
  return measureSlope('change-time', 'workspaces', 'µs a change', sizes, count => {
    const follower = createFollower(count)
    let revision = 1
    return measureMedianUs(20, () => {
      for (let i = 0; i < 20; i++) {
        revision += 1
        follower.applyRevisions([{ revision, changes: [composeChange(i)], operator: 'ana', time: 0 }])
      }
    })
  })
}

/** Heap of the configuration on a box by workspaces, with 2.5 engines per workspace, bytes. */
export function measureConfigMemory (sizes: readonly number[]): Slope {
  return measureSlope('config-memory', 'workspaces', 'bytes', sizes, count => measureHeapBytes(() => createFollower(count)))
}

/** Bytes of a `watch` message from a box to a keeper: with the revision alone, and with the status of `engines` engines. */
export function measureWatch (engines: number): { readonly light: number, readonly full: number } {
  const status: BoxStatus = {
    id: 'entry-123',
    zone: 'zone-12',
    revision: 29_000,
    ready: true,
    leaving: false,
    inFlight: 500,
    queues: { 'pitch-question': 3, 'itinerary-draft': 17 },
    engines: Array.from({ length: engines }, (_, i) => ({ id: `engine-${10_000 + i}`, zone: 'zone-12', pool: 'steppe', state: 'live', slow: false, quick: 5, patient: 1, places: 8, owner: 'entry-123' })),
    violations: 0,
    incarnation: '1796213637769',
    sentAt: 1_796_213_637_769
  }
  const measure = (value: BoxStatus | null): number => countFrameBytes({ type: 'watch', revision: 29_000, status: value })
  return { light: measure(null), full: measure(status) }
}

/** Bytes of the `revisions` message with one change. */
export function measureChangeBytes (): number {
  return countFrameBytes({ type: 'revisions', revisions: [{ revision: 29_000, changes: [composeChange(1)], operator: 'ana', time: 1_796_213_637_769 }] })
}
