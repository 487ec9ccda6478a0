/**
 * Which window a lease holder settles first. A holder that lost the lease before any window was settled
 * left its windows to the next one, which started with its own first window: their requests were never reported.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { UsageLedger } from '../src/coordination/index.js'
import type { UsageUpdate, UsageWindow } from '../src/coordination/index.js'
import { UsageReporter } from '../src/registry/index.js'
import { EventLog, Metrics } from '../src/runtime/index.js'

const windowMs = 1000
const takeoverAt = 100_400

const createUpdate = (window: UsageWindow, requests: number): UsageUpdate => ({ source: 'gateway', through: Number.MAX_SAFE_INTEGER, windows: [[window, [['camp', requests]]]] })

const cases: readonly { name: string, settled: readonly UsageWindow[], updates: readonly UsageUpdate[], expected: readonly UsageWindow[] }[] = [
  { name: 'counts of a window before the takeover, none settled', settled: [], updates: [createUpdate(98, 6)], expected: [98, 99, 100] },
  { name: 'no counts, none settled', settled: [], updates: [], expected: [100] },
  { name: 'counts of a window that can no longer be reported, none settled', settled: [], updates: [createUpdate(40, 6)], expected: [100] },
  { name: 'the windows after the last settled one', settled: [97], updates: [createUpdate(98, 6)], expected: [98, 99, 100] }
]

for (const { name, settled, updates, expected } of cases) {
  test(`a new lease holder settles the windows that were not settled before: ${name}`, async () => {
    const ledger = new UsageLedger(settled.map(window => ({ window, counts: [], isReported: true })))
    let now = takeoverAt
    const reporter = new UsageReporter({
      log: new EventLog('registry', () => {}),
      metrics: new Metrics(null, 'registry'),
      windowMs,
      reportDeadlineMs: 3000,
      ledger,
      now: () => now,
      readTimeOfDay: () => now,
      propose: async command => ledger.apply(command),
      call: async () => ({ type: 'answered', status: 200 })
    })
    reporter.step()
    reporter.merge(updates)
    for (; ledger.windows.length < settled.length + expected.length && now < takeoverAt + 5000; now += 100) {
      reporter.step()
      await new Promise(resolve => setImmediate(resolve))
    }
    assert.deepEqual(ledger.windows.map(({ window }) => window).filter(window => !settled.includes(window)).slice(0, expected.length), expected)
  })
}
