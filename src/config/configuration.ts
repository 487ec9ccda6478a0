import type { Document } from '../coordination/index.js'
import { brandId, defaultTuning } from '../core/index.js'
import type { ClassName, EngineId, EngineSpec, ModelName, PoolName, RequestClass, SchedulerConfig, ServiceName, WorkspaceName, ZoneName } from '../core/index.js'

/** A workspace as entry boxes use it. */
export interface Workspace {
  readonly name: WorkspaceName
  readonly keys: readonly string[]
  readonly defaultClass: ClassName
  readonly requestsPerSecond: number
  readonly tokensPerMinute: number
  readonly streams: number
}

/** A pool of identical engines. */
export interface Pool {
  readonly name: PoolName
  readonly models: readonly ModelName[]
  readonly places: number
  readonly floorPlaces: number
  readonly prefillMs: number
  readonly protocol: 'openai' | 'wrenlane'
}

/** A configured engine. */
export interface EngineEntry {
  readonly id: EngineId
  readonly pool: PoolName
  readonly zone: ZoneName
  readonly host: string
  readonly port: number
  readonly checksFencing: boolean
  readonly leaving: boolean
}

/** An endpoint of a service that isn't an engine. */
export interface ServiceEndpoint {
  readonly host: string
  readonly port: number
  readonly zone: ZoneName
}

/** A service that isn't an engine: its calls are forwarded without scheduling. */
export interface Service {
  readonly name: ServiceName
  readonly endpoints: readonly ServiceEndpoint[]
  readonly repeatable: boolean
  readonly repeatablePaths: readonly string[]
  readonly timeoutMs: number
}

/** The configuration in force, decoded from the document in the ledger. */
export interface Configuration {
  readonly revision: number
  readonly workspaces: ReadonlyMap<WorkspaceName, Workspace>
  /** Workspaces by the SHA-256 digest of an API key. */
  readonly keys: ReadonlyMap<string, Workspace>
  readonly classes: ReadonlyMap<ClassName, RequestClass>
  readonly pools: ReadonlyMap<PoolName, Pool>
  readonly engines: ReadonlyMap<EngineId, EngineEntry>
  readonly services: ReadonlyMap<ServiceName, Service>
}

/** Decodes a document that has passed validation. */
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

/** The configuration of a scheduler for the engines that `isOwn` selects. */
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

// Decoded sections by their document object. An unchanged section is the same object
// in each revision, so only changed sections are decoded again.
const sectionCache = new WeakMap<object, Map<string, unknown>>()

function readClasses (document: Document): Map<ClassName, RequestClass> {
  const classes = readSection<ClassName, RequestClass>(document, 'classes', 'name')
  return new Map([...classes].map(([name, one]) => [name, { ...one, wholeMs: one.wholeMs === 0 ? null : one.wholeMs }]))
}

function readSection<Name extends string, Item> (document: Document, section: string, idKey: string): Map<Name, Item> {
  const found = document[section] ?? {}
  const cached = sectionCache.get(found)
  if (cached !== undefined) return cached as unknown as Map<Name, Item>
  const items = new Map<Name, Item>()
  for (const [name, item] of Object.entries(found)) {
    items.set(brandId<Name>(name), { [idKey]: name, ...(item as object) } as Item)
  }
  sectionCache.set(found, items)
  return items
}
