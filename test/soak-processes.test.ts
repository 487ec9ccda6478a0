import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SoakHistory } from '../src/soak/index.js'

/** Short soak runs, among them the seeds that once failed; `why` is the title: the cause of the failure, or what the run covers. */
const histories: readonly { seed: number, seconds: number, gateways: number, registries: number, engines?: number, endpoints?: number, crashers?: number, notices?: boolean, contention?: boolean, why: string }[] = [
  { seed: 1, seconds: 6, gateways: 3, registries: 3, why: 'SIGHUP terminated a gateway that was still starting' },
  { seed: 27, seconds: 6, gateways: 3, registries: 3, why: 'a second SIGTERM, which requests an immediate exit, counted as a graceful stop' },
  { seed: 7, seconds: 6, gateways: 2, registries: 5, why: 'five registries' },
  { seed: 2, seconds: 15, gateways: 3, registries: 3, engines: 4, why: 'claim tags were refused while fitting quotes were let in' },
  { seed: 4, seconds: 10, gateways: 3, registries: 3, endpoints: 9, crashers: 3, why: 'a harmful request that crashes its endpoints was sent to endpoints repeatedly' },
  { seed: 5, seconds: 15, gateways: 4, registries: 3, notices: true, why: 'limits, back-off and leaving announced on answers, along with other faults' },
  { seed: 1100007, seconds: 5, gateways: 3, registries: 3, contention: true, why: 'workspaces that send several times their usual rate, and callers that read slowly, along with other faults' }
]

for (const { seed, seconds, gateways, registries, engines = 0, endpoints = 4, crashers = 0, notices = false, contention = false, why } of histories) {
  test(`the promises hold over processes and faults, seed ${seed}: ${why}`, { timeout: 110_000 }, async () => {
    const { violations, served, faults } = await new SoakHistory(seed, seconds * 1000, { gateways, registries, endpoints, engines, crashers, notices, contention }).run()
    assert.deepEqual(violations, [])
    assert.ok(served > 100 && faults > 2, `${served} served, ${faults} faults`)
  })
}
