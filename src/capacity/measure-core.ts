/** Time and memory of the scheduling core by size. */
import { Placer, Scheduler, brandId, defaultTuning, partitionEngines } from '../core/index.js'
import type { BoxId, ClassName, EngineId, EngineSpec, ModelName, PoolName, RequestClass, RequestId, ShardId, Submission, WorkspaceName, ZoneName } from '../core/index.js'
import { createRandom } from '../runtime/index.js'
import { measureSlope } from './slope.js'
import type { Slope } from './slope.js'
import { measureMedianUs, measureHeapBytes } from './timing.js'

const model = brandId<ModelName>('m')
const quick: RequestClass = { name: brandId<ClassName>('quick'), priority: 0, firstTokenMs: 400, betweenTokenMs: 80, wholeMs: null, mayWait: false, maxWaitMs: 1000 }
const draft: RequestClass = { ...quick, name: brandId<ClassName>('draft'), priority: 4, mayWait: true }
const decisionsPerRun = 20_000

function composeEngineSpecs (count: number): EngineSpec[] {
  return Array.from({ length: count }, (_, i) => ({ id: brandId<EngineId>(`engine-${i}`), models: [model], places: 8, floorPlaces: 1, prefillMs: 50 }))
}

function composeSubmission (request: number, requestClass: RequestClass): Submission {
  return {
    request: brandId<RequestId>(`r${request}`),
    attempt: 1,
    box: brandId<BoxId>('b'),
    class: requestClass.name,
    workspace: brandId<WorkspaceName>(`w${request % 10}`),
    model,
    promptTokens: 300,
    prefix: `p${request % 50}`,
    deadline: 1e12,
    exclude: [],
    resumed: false
  }
}

function createLoadedScheduler (engines: number): Scheduler {
  const scheduler = new Scheduler({ ...defaultTuning, classes: [quick, draft], engines: composeEngineSpecs(engines) }, createRandom(1))
  for (let i = 0; i < engines * 5; i++) scheduler.step({ type: 'submit', at: 0, submission: composeSubmission(-1 - i, i % 3 === 0 ? draft : quick) })
  return scheduler
}

/** Time to schedule a request and to end it by engines of a shard, µs. */
export function measureDecision (sizes: readonly number[]): Slope {
  return measureSlope('decision', 'engines of a shard', 'µs a request', sizes, engines => {
    const scheduler = createLoadedScheduler(engines)
    let next = 0
    return measureMedianUs(decisionsPerRun, () => {
      for (let i = 0; i < decisionsPerRun; i++) {
        next += 1
        scheduler.step({ type: 'submit', at: next, submission: composeSubmission(next, quick) })
        scheduler.step({ type: 'end', at: next, request: brandId<RequestId>(`r${next}`), attempt: 1, how: 'done', tokens: 50 })
      }
    })
  })
}

/** Heap of a loaded scheduler by engines of its shard, bytes. */
export function measureEngineMemory (sizes: readonly number[]): Slope {
  return measureSlope('engine-memory', 'engines of a shard', 'bytes', sizes, engines => measureHeapBytes(() => createLoadedScheduler(engines)))
}

/** Time to partition all engines into shards by total number of engines, µs. */
export function measurePartitioning (sizes: readonly number[]): Slope {
  return measureSlope('parting', 'engines in all', 'µs', sizes, count => {
    const engines = Array.from({ length: count }, (_, i) => ({ id: brandId<EngineId>(`engine-${i}`), pool: brandId<PoolName>(`pool-${i % 19}`), zone: brandId<ZoneName>(`zone-${i % 15}`) }))
    return measureMedianUs(1, () => partitionEngines(engines, () => [model], 32))
  })
}

/** Heap of the placer of a box by open requests, bytes. */
export function measureRequestMemory (sizes: readonly number[]): Slope {
  return measureSlope('request-memory', 'requests in flight', 'bytes', sizes, count => measureHeapBytes(() => {
    const placer = new Placer({ box: brandId<BoxId>('b'), zone: brandId<ZoneName>('z'), now: () => 0, random: () => 0.5, send: () => true, isReachable: () => true, noteViolation: () => {} })
    placer.setShards([{ id: brandId<ShardId>('s'), zone: brandId<ZoneName>('z'), owner: brandId<BoxId>('b'), models: [model] }])
    for (let i = 0; i < count; i++) placer.place(composeSubmission(i, quick), false, () => {})
    return placer
  }))
}
