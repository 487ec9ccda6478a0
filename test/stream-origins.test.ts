import assert from 'node:assert/strict'
import { performance } from 'node:perf_hooks'
import { test } from 'node:test'
import { SeenVersions, brandId } from '../src/core/index.js'
import type { StreamOrigin } from '../src/core/index.js'
import { StreamOrigins } from '../src/gateway/stream-origins.js'
import type { Resumption } from '../src/gateway/stream-origins.js'

const origin: StreamOrigin = { service: brandId('desk'), software: 'v1' }
const route = { name: 'resume', kind: 'events', resumable: true, services: [{ service: 'desk', weight: 1 }] }
const headers = { requestId: 'second', resumes: 'first', lastEvent: '3' }

/** Blocks the event loop. */
function hold (ms: number): void {
  for (const from = performance.now(); performance.now() - from < ms;);
}

/** A lookup at a box with one registry, which answers after `answerMs`, if at all; the box is held up from the start on. */
const cases: readonly { name: string, heldUpMs: number, answerMs: number, type: Resumption['type'] }[] = [
  { name: 'is resumed where its registry answers at once', heldUpMs: 0, answerMs: 0, type: 'resumed' },
  { name: 'is refused where its registry does not answer in time', heldUpMs: 0, answerMs: 2000, type: 'refused' },
  { name: 'was refused as unknown by a box that was held up before it read the answer', heldUpMs: 400, answerMs: 450, type: 'resumed' }
]

for (const { name, heldUpMs, answerMs, type } of cases) {
  test(`a stream ${name}`, async () => {
    const sent: { readonly type: string, readonly call?: number }[] = []
    const registry = { host: '127.0.0.1', zone: 'zone-a', link: { send: (message: { readonly type: string }) => { sent.push(message); return true } } }
    const origins = new StreamOrigins({ id: 'gateway-1', zone: 'zone-a', now: () => performance.now(), listRegistries: () => [registry], versions: new SeenVersions(), knowsAllVersions: () => true, metrics: { count: () => {} }, log: {} } as never)
    const resolved = origins.resolve(headers as never, route as never, null)
    const { call } = sent.find(message => message.type === 'find-stream') as { readonly call: number }
    const timer = setTimeout(() => origins.receive({ type: 'stream-found', call, origin }), answerMs)
    hold(heldUpMs)
    assert.equal((await resolved).type, type)
    clearTimeout(timer)
  })
}

/** A take-up that names no first request, at a box that knows one version; `hasUpdate`: an update with another one is unread as it arrives. */
const unnamedCases: readonly { name: string, hasUpdate: boolean, answers: boolean, type: Resumption['type'] }[] = [
  { name: 'went on at the version known to a box that had been suspended, although the registries had told it of another', hasUpdate: true, answers: true, type: 'refused' },
  { name: 'is resumed where all registries answer, and there is one version', hasUpdate: false, answers: true, type: 'resumed' },
  { name: 'is refused where a registry does not answer', hasUpdate: false, answers: false, type: 'refused' }
]

for (const { name, hasUpdate, answers, type } of unnamedCases) {
  test(`a stream without the name of its first request ${name}`, async () => {
    const versions = new SeenVersions()
    versions.note(origin)
    const unread: (() => void)[] = hasUpdate ? [() => versions.note({ ...origin, software: 'v2' })] : []
    const send = (message: { readonly type: string, readonly call?: number }): boolean => {
      if (answers && message.type === 'find-stream') unread.push(() => origins.receive({ type: 'stream-found', call: message.call as number, origin: null }))
      return true
    }
    const registry = { host: '127.0.0.1', zone: 'zone-a', link: { send } }
    const origins = new StreamOrigins({ id: 'gateway-1', zone: 'zone-a', now: () => performance.now(), listRegistries: () => [registry], versions, knowsAllVersions: () => true, metrics: { count: () => {} }, log: {} } as never)
    const resolved = origins.resolve({ ...headers, resumes: null } as never, route as never, null)
    // Links keep the order of messages.
    for (const read of unread) read()
    assert.equal((await resolved).type, type)
  })
}
