import type { Document } from '../coordination/index.js'
import { brandId, defaultTuning } from '../core/index.js'
import type { ClassName, EngineId, EngineSpec, ModelName, PoolName, RequestClass, SchedulerConfig, ServiceName, WorkspaceName, ZoneName } from '../core/index.js'

/** A workspace as the entry boxes use it. */
export interface Workspace {
  readonly name: WorkspaceName
  readonly keys: readonly string[]
  readonly defaultClass: ClassName
  readonly requestsPerSecond: number
  readonly tokensPerMinute: number
  readonly streams: number
}

/** A pool of like engines. */
export interface Pool {
  readonly name: PoolName
  readonly models: readonly ModelName[]
  readonly places: number
  readonly floorPlaces: number
  readonly prefillMs: number
  readonly protocol: 'openai' | 'wrenlane'
}

/** An engine with its address. */
export interface EngineEntry {
  readonly id: EngineId
  readonly pool: PoolName
  readonly zone: ZoneName
  readonly host: string
  readonly port: number
  readonly checksFencing: boolean
  readonly leaving: boolean
}

/** An endpoint of a plain service. */
export interface ServiceEndpoint {
  readonly host: string
  readonly port: number
  readonly zone: ZoneName
}

/** A plain service. */
export interface Service {
  readonly name: ServiceName
  readonly endpoints: readonly ServiceEndpoint[]
  readonly repeatable: boolean
  readonly repeatablePaths: readonly string[]
  readonly timeoutMs: number
}

/** The configuration in force, read from the ledger's document. */
export interface Configuration {
  readonly revision: number
  readonly workspaces: ReadonlyMap<WorkspaceName, Workspace>
  /** The workspace that each key's digest opens. */
  readonly keys: ReadonlyMap<string, Workspace>
  readonly classes: ReadonlyMap<ClassName, RequestClass>
  readonly pools: ReadonlyMap<PoolName, Pool>
  readonly engines: ReadonlyMap<EngineId, EngineEntry>
  readonly services: ReadonlyMap<ServiceName, Service>
}

/** Reads a checked document. */
export function readConfiguration (document: Document, revision: number): Configuration {
  const workspaces = readSection<WorkspaceName, Workspace>(document, 'workspaces', 'name')
  const keys = new Map<string, Workspace>()
  for (const workspace of workspaces.values()) {
    for (const key of workspace.keys) keys.set(key, workspace)
  }
  return {
    revision,
    workspaces,
    keys,
    classes: readClasses(document),
    pools: readSection<PoolName, Pool>(document, 'pools', 'name'),
    engines: readSection<EngineId, EngineEntry>(document, 'engines', 'id'),
    services: readSection<ServiceName, Service>(document, 'services', 'name')
  }
}

/** What the scheduler of the engines that `isOwn` takes needs to know. */
export function readSchedulerConfig (configuration: Configuration, isOwn: (engine: EngineEntry) => boolean): SchedulerConfig {
  const engines: EngineSpec[] = []
  for (const engine of configuration.engines.values()) {
    const pool = configuration.pools.get(engine.pool)
    if (pool === undefined || !isOwn(engine)) continue
    const { places, floorPlaces, prefillMs, models } = pool
    engines.push({ id: engine.id, models, places, floorPlaces, prefillMs })
  }
  return { ...defaultTuning, classes: [...configuration.classes.values()], engines }
}

// Sections without a change are the same objects from revision to revision, so
// that a change costs what it touches, not the whole configuration.
const sectionsRead = new WeakMap<object, Map<string, unknown>>()

function readClasses (document: Document): Map<ClassName, RequestClass> {
  const classes = readSection<ClassName, RequestClass>(document, 'classes', 'name')
  return new Map([...classes].map(([name, one]) => [name, { ...one, wholeMs: one.wholeMs === 0 ? null : one.wholeMs }]))
}

function readSection<Name extends string, Item> (document: Document, section: string, idKey: string): Map<Name, Item> {
  const found = document[section] ?? {}
  const known = sectionsRead.get(found)
  if (known !== undefined) return known as unknown as Map<Name, Item>
  const items = new Map<Name, Item>()
  for (const [name, item] of Object.entries(found)) {
    items.set(brandId<Name>(name), { [idKey]: name, ...(item as object) } as Item)
  }
  sectionsRead.set(found, items)
  return items
}
