import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Disturbances, PromiseWatch } from '../src/soak/index.js'
import type { WatchedCall } from '../src/soak/index.js'

function createCall (version: number, sentAt: number, endedAt: number, more: Partial<WatchedCall> = {}): WatchedCall {
  const result = { status: 200, body: '', isComplete: true, error: '', firstByteAt: endedAt, retryAfterMs: null }
  return { id: `call-${version}-${sentAt}`, gateway: 'gateway-0', gatewayRestarts: 0, kind: 'again', path: '', body: '', version, sentAt, endedAt, result, ...more }
}

// A history was taken for broken ("used 8 after 9") where a call had been let in under 8 and its endpoint answered after 832 ms, 35 ms
// after a later call had been answered under 9, which had come into force in between.
const answers: readonly { readonly name: string, readonly calls: readonly WatchedCall[], readonly isReverted: boolean }[] = [
  { name: 'an older one that was sent before the newer was seen', calls: [createCall(9, 800, 806), createCall(8, 10, 842)], isReverted: false },
  { name: 'an older one that was sent after the newer was seen', calls: [createCall(9, 800, 806), createCall(8, 810, 820)], isReverted: true },
  { name: 'an older one in another life of the gateway', calls: [createCall(9, 800, 806), createCall(8, 810, 820, { gatewayRestarts: 1 })], isReverted: false },
  { name: 'an older one, with newer ones seen again meanwhile', calls: [createCall(9, 800, 806), createCall(9, 900, 906), createCall(8, 850, 920)], isReverted: true },
  { name: 'a newer one', calls: [createCall(8, 10, 20), createCall(9, 30, 40)], isReverted: false }
]

for (const { name, calls, isReverted: reverts } of answers) {
  test(`a document is taken for reverted ${reverts ? 'where' : 'not where'} a version answers after another: ${name}`, () => {
    const watch = new PromiseWatch(new Disturbances())
    for (const call of calls) watch.checkVersionCall(call, call.sentAt, null)
    assert.equal(watch.violations.length > 0, reverts, watch.violations.join())
  })
}
