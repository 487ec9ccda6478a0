import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RouteTable, brandId, defaultCallerLimits, findDocumentMistakes, pickService, rankRequest } from '../src/core/index.js'
import type { KeyedWorkspace, Route, RoutingDocument } from '../src/core/index.js'

function createRoute (name: string, more: Partial<Route> = {}): Route {
  return {
    name: brandId(name),
    host: 'camp.example',
    prefix: `/${name}/`,
    kind: 'repeatable',
    timeoutMs: 1000,
    targetMs: 300,
    pauseMs: null,
    priority: 1,
    services: [{ service: brandId('desk'), weight: 1 }],
    mostAttempts: 2,
    isPublic: false,
    resumable: false,
    ...more
  }
}

function createDocument (routes: readonly Route[], more: Partial<RoutingDocument> = {}): RoutingDocument {
  return { version: 1, routes, services: [{ name: brandId('desk'), mostConnections: 10, sizing: null, engine: null }], limits: defaultCallerLimits, workspaces: null, ...more }
}

const routes = [createRoute('root', { prefix: '/' }), createRoute('a'), createRoute('a-b', { prefix: '/a/b/' }), createRoute('other', { host: 'Other.Example', prefix: '/' })]

const lookups: readonly (readonly [host: string, path: string, found: string | undefined])[] = [
  ['camp.example', '/a/x', 'a'],
  ['camp.example', '/a/', 'a'],
  ['camp.example', '/a', 'root'],
  ['camp.example', '/a/b/c/d?e=/a/b/', 'a-b'],
  ['camp.example', '/a/bc', 'a'],
  ['camp.example', '/?x=/a/', 'root'],
  ['CAMP.example:8080', '/a/x', 'a'],
  ['other.example', '/anything', 'other'],
  ['nobody.example', '/a/x', undefined]
]

test('the longest prefix of the host wins', () => {
  const table = new RouteTable(createDocument(routes))
  for (const [host, path, found] of lookups) assert.equal(table.findRoute(host, path)?.name, found, `${host}${path}`)
})

const mistaken: readonly { name: string, document: RoutingDocument, found: RegExp | null }[] = [
  { name: 'a valid document', document: createDocument(routes), found: null },
  { name: 'an unknown service', document: createDocument([createRoute('a', { services: [{ service: brandId('nobody'), weight: 1 }] })]), found: /unknown service nobody/ },
  { name: 'two routes with the same host and prefix', document: createDocument([createRoute('a'), createRoute('b', { prefix: '/a/', host: 'CAMP.example' })]), found: /same host and prefix/ },
  { name: 'weights of 0', document: createDocument([createRoute('a', { services: [{ service: brandId('desk'), weight: 0 }] })]), found: /sum to 0/ },
  { name: 'a negative weight', document: createDocument([createRoute('a', { services: [{ service: brandId('desk'), weight: 3 }, { service: brandId('desk'), weight: -1 }] })]), found: /below 0/ },
  { name: 'no time-out', document: createDocument([createRoute('a', { timeoutMs: 0 })]), found: /time-out of route a is 0/ },
  { name: 'a key of two workspaces', document: createDocument(routes, { workspaces: [{ name: brandId('v'), keys: ['k'], priority: null }, { name: brandId('w'), keys: ['l', 'k'], priority: null }] }), found: /share a key/ }
]

for (const { name, document, found } of mistaken) {
  test(`${name}: ${found === null ? 'accepted' : 'rejected'}`, () => {
    const mistakes = findDocumentMistakes(document)
    if (found === null) assert.deepEqual(mistakes, [])
    else assert.match(mistakes.join('\n'), found)
  })
}

test('services are picked by weight', () => {
  const route = createRoute('a', { services: [{ service: brandId('x'), weight: 90 }, { service: brandId('none'), weight: 0 }, { service: brandId('y'), weight: 10 }] })
  const cases: readonly (readonly [number, string])[] = [[0, 'x'], [0.89, 'x'], [0.9, 'y'], [0.999, 'y']]
  for (const [draw, service] of cases) assert.equal(pickService(route, draw), service, String(draw))
})

const ranks: readonly (readonly [route: number, workspace: number | null, rank: number])[] = [[0, 0, 0], [0, 1, 1], [0, null, 1], [1, 0, 2], [2, 1, 5], [9, 1, 9]]

test('the priority of the route precedes that of the workspace, so that no draft delays a question', () => {
  for (const [priority, of, rank] of ranks) {
    const workspace: KeyedWorkspace | null = of === null ? null : { name: brandId('w'), keys: [], priority: of }
    assert.equal(rankRequest(createRoute('a', { priority }), workspace, 2), rank, `${priority} ${of}`)
  }
})
