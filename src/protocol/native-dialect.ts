/**
 * The native dialect for routed requests, with the names of `docs/ROUTES.md`:
 * JSON documents and `x-wrenlane-` headers.
 */
import { brandId, defaultCallerLimits, isHostText, maxPort } from '../core/index.js'
import type { EndpointId, EndpointRecord, EndpointSizing, EndpointStage, KeyedWorkspace, PromptTransfer, Route, RouteKind, RoutedService, RoutingDocument, WeightedService } from '../core/index.js'
import { DocumentReader, parseJson } from './document-reader.js'
import { createDialect } from './header-dialect.js'

const routeKinds: Readonly<Record<RouteKind, RouteKind>> = { repeatable: 'repeatable', once: 'once', events: 'events' }
const stages: Readonly<Record<string, EndpointStage>> = { ready: 'ready', draining: 'draining' }
const defaultAttempts = 2
const defaultConnections = 64
/** The lowest of the priorities in common use. */
const defaultPriority = 5

export const nativeDialect = createDialect({
  headers: {
    requestId: 'x-wrenlane-request-id',
    deadline: 'x-wrenlane-deadline-ms',
    lastEvent: 'last-event-id',
    resumes: 'x-wrenlane-resumes',
    tokens: 'x-wrenlane-tokens',
    parts: 'x-wrenlane-prompt-parts',
    expectedEndpoint: 'x-wrenlane-endpoint',
    workspace: 'x-wrenlane-workspace',
    priority: 'x-wrenlane-priority',
    fetchFrom: 'x-wrenlane-fetch-from',
    notRun: 'x-wrenlane-not-run',
    mark: '',
    limit: 'x-wrenlane-limit',
    leaving: 'x-wrenlane-leaving',
    brittle: 'x-wrenlane-brittle',
    keyScheme: 'Bearer',
    reserved: []
  },
  paths: { ready: '/readyz', document: '/v1/routing', endpoints: '/v1/endpoints/' },
  duties: {
    holder: 'x-wrenlane-holder',
    fence: 'x-wrenlane-fence',
    usage: '/v1/usage',
    orders: '/v1/endpoint-orders',
    composeUsage: (window, counts) => ({ window, counts: Object.fromEntries(counts) }),
    composeOrder: ({ service, zone, isSpot, count }) => ({ service, zone, spot: isSpot, count })
  },
  fractionalRetryAfter: false,
  contendedFeatures: ['contended'],
  decodeDocument,
  decodeRegistration
})

function decodeDocument (text: string): RoutingDocument {
  const reader = new DocumentReader(parseJson(text))
  const document: RoutingDocument = {
    version: reader.readNumber('version'),
    routes: reader.readList('routes', readRoute),
    services: reader.readList('services', readService),
    limits: reader.has('limits') ? reader.readTable('limits', readLimits) : defaultCallerLimits,
    workspaces: reader.has('workspaces') ? reader.readList('workspaces', readWorkspace) : null
  }
  reader.throwIfInvalid()
  return document
}

function readRoute (reader: DocumentReader): Route {
  return {
    name: brandId(reader.readString('name')),
    host: reader.readString('host'),
    prefix: reader.readString('prefix'),
    kind: reader.readChoice('kind', routeKinds),
    timeoutMs: reader.readNumber('timeoutMs'),
    targetMs: reader.readNumber('targetMs'),
    pauseMs: reader.has('pauseMs') ? reader.readNumber('pauseMs') : null,
    priority: reader.readNumber('priority', defaultPriority),
    services: reader.readList('services', readWeighted),
    mostAttempts: reader.readNumber('mostAttempts', defaultAttempts),
    isPublic: reader.readBoolean('public', false),
    resumable: reader.readBoolean('resumable', false)
  }
}

function readWeighted (reader: DocumentReader): WeightedService {
  return { service: brandId(reader.readString('service')), weight: reader.readNumber('weight', 1) }
}

function readService (reader: DocumentReader): RoutedService {
  return {
    name: brandId(reader.readString('name')),
    mostConnections: reader.readNumber('mostConnections', defaultConnections),
    sizing: reader.has('sizing') ? reader.readTable('sizing', readSizing) : null,
    engine: reader.has('engine')
      ? reader.readTable('engine', engine => ({
        slots: engine.readNumber('slots'),
        memoryTokens: engine.readNumber('memoryTokens'),
        tokensPerEvent: engine.readNumber('tokensPerEvent', 1),
        transfer: engine.has('transfer') ? engine.readTable('transfer', readTransfer) : null
      }))
      : null
  }
}

function readSizing (reader: DocumentReader): EndpointSizing {
  return {
    least: reader.readInteger('least', 0),
    most: reader.readInteger('most', 1),
    bootMs: reader.readNumber('bootMs', 0),
    spotPrice: reader.has('spotPrice') ? reader.readNumber('spotPrice') : null,
    zonePrices: new Map(reader.has('zonePrices') ? reader.readTable('zonePrices', prices => prices.readNumbers()) : [])
  }
}

function readTransfer (reader: DocumentReader): PromptTransfer {
  return { tokenBytes: reader.readNumber('tokenBytes'), bytesPerMs: reader.readNumber('bytesPerMs') }
}

function readLimits (reader: DocumentReader): RoutingDocument['limits'] {
  return {
    headerBytes: reader.readNumber('headerBytes', defaultCallerLimits.headerBytes),
    bodyBytes: reader.readNumber('bodyBytes', defaultCallerLimits.bodyBytes),
    headerMs: reader.readNumber('headerMs', defaultCallerLimits.headerMs),
    idleMs: reader.readNumber('idleMs', defaultCallerLimits.idleMs)
  }
}

function readWorkspace (reader: DocumentReader): KeyedWorkspace {
  return {
    name: brandId(reader.readString('name')),
    keys: reader.readStrings('keys'),
    priority: reader.has('priority') ? reader.readNumber('priority') : null
  }
}

function readHost (reader: DocumentReader): string {
  const host = reader.readString('host')
  return host === '' || isHostText(host) ? host : reader.addMistake('host', 'is not the name or address of a host', '')
}

function readPort (reader: DocumentReader): number {
  const port = reader.readInteger('port', 1)
  return port <= maxPort ? port : reader.addMistake('port', `is not a port, which is ${maxPort} at most`, maxPort)
}

function decodeRegistration (endpoint: EndpointId, text: string): EndpointRecord {
  const reader = new DocumentReader(parseJson(text))
  const record: EndpointRecord = {
    id: endpoint,
    service: brandId(reader.readText('service')),
    host: readHost(reader),
    port: readPort(reader),
    zone: brandId(reader.readText('zone')),
    slots: reader.readInteger('slots', 1),
    born: reader.readInteger('born', 0, 0),
    software: reader.readText('software', ''),
    ...(reader.readBoolean('spot', false) ? { isSpot: true } : {}),
    sequence: reader.readInteger('sequence'),
    stage: reader.readChoice('stage', stages)
  }
  reader.throwIfInvalid()
  return record
}
