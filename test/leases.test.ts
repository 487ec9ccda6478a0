/**
 * Leases on duties, checked by the calls that arrive at the platform. The platform
 * doesn't check fencing tokens itself, so a single late call of a former holder
 * would do harm.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaseTable, LeaseHolder, UsageLedger, planLeaseTiming } from '../src/coordination/index.js'
import type { ClockReading, LeaseCommand } from '../src/coordination/index.js'
import { boundMs, runLeaseHistory } from '../src/proof/index.js'
import { findFencingViolations } from '../src/standin/index.js'

const timing = planLeaseTiming(3000)
const readBothClocks = (ms: number): ClockReading => ({ monotonic: ms, wall: ms })

/** A holder that requested the lease at 1,000 ms and received the grant at 1,400 ms. */
function createGrantedHolder (table = new LeaseTable()): LeaseHolder {
  const holder = new LeaseHolder('duty', 'a', timing, readBothClocks(0))
  const command = holder.decide(readBothClocks(1000), true)
  assert.equal(command?.type, 'claim')
  const result = table.apply(command as LeaseCommand)
  holder.observe(table.find('duty'), readBothClocks(1400))
  holder.noteResult(result)
  return holder
}

const actCases: readonly { name: string, now: ClockReading, needMs: number, mayAct: boolean }[] = [
  { name: 'right after the reply', now: readBothClocks(1400), needMs: 700, mayAct: true },
  { name: 'validity counts from the request, not from the reply', now: readBothClocks(1000 + timing.validMs - 699), needMs: 700, mayAct: false },
  { name: 'just before expiry', now: readBothClocks(1000 + timing.validMs - 700), needMs: 700, mayAct: true },
  { name: 'the monotonic clock stood still during a suspension', now: { monotonic: 1500, wall: 9000 }, needMs: 0, mayAct: false },
  { name: 'the wall clock was set back', now: { monotonic: 9000, wall: 1100 }, needMs: 0, mayAct: false },
  { name: 'the wall clock was set ahead', now: { monotonic: 1500, wall: 9000 }, needMs: 0, mayAct: false }
]

for (const { name, now, needMs, mayAct } of actCases) {
  test(`a holder ${mayAct ? 'may' : 'may not'} act: ${name}`, () => {
    assert.equal(createGrantedHolder().findFence(now, needMs), mayAct ? 1 : null)
  })
}

test('another box claims only after the mark was unchanged for long enough on its monotonic clock, and gets a higher fencing token', () => {
  const table = new LeaseTable()
  createGrantedHolder(table)
  const other = new LeaseHolder('duty', 'b', timing, readBothClocks(0))
  other.observe(table.find('duty'), readBothClocks(1410))
  assert.equal(other.decide({ monotonic: 1410 + timing.waitMs - 1, wall: 99_999 }, true), null)
  const claim = other.decide(readBothClocks(1410 + timing.waitMs), true)
  assert.equal(claim?.type, 'claim')
  other.noteResult(table.apply(claim as LeaseCommand))
  assert.equal(other.findFence(readBothClocks(1420 + timing.waitMs), 0), 2)
  assert.ok(timing.waitMs > timing.validMs)
})

test('a claim that a renewal precedes is refused', () => {
  const table = new LeaseTable()
  const first = createGrantedHolder(table)
  const seen = table.find('duty')?.mark ?? 0
  const renewal = first.decide(readBothClocks(1000 + timing.renewMs), true)
  first.noteResult(table.apply(renewal as LeaseCommand))
  assert.equal(table.apply({ type: 'claim', duty: 'duty', holder: 'b', seen }).type, 'refused')
  assert.equal(table.find('duty')?.holder, 'a')
})

test('a released lease can be claimed at once by another box, but not by a recent former holder', () => {
  const table = new LeaseTable()
  const first = createGrantedHolder(table)
  table.apply(first.release() as LeaseCommand)
  assert.equal(first.findFence(readBothClocks(1500), 0), null)
  const second = new LeaseHolder('duty', 'b', timing, readBothClocks(0))
  second.observe(table.find('duty'), readBothClocks(1500))
  second.noteResult(table.apply(second.decide(readBothClocks(1501), true) as LeaseCommand))
  assert.equal(second.findFence(readBothClocks(1510), 0), 2)
  table.apply(second.release() as LeaseCommand)
  // The first box has restarted and knows only the state of the log.
  const restarted = new LeaseHolder('duty', 'a', timing, readBothClocks(1600))
  restarted.observe(table.find('duty'), readBothClocks(1650))
  assert.equal(restarted.decide(readBothClocks(1600 + timing.cooldownMs - 1), true), null)
  assert.equal(restarted.decide(readBothClocks(1600 + timing.cooldownMs), true)?.type, 'claim')
})

test('a restarted box does not resume the lease it held before', () => {
  const table = new LeaseTable()
  createGrantedHolder(table)
  const restarted = new LeaseHolder('duty', 'a', timing, readBothClocks(1500))
  restarted.observe(table.find('duty'), readBothClocks(1500))
  assert.equal(restarted.findFence(readBothClocks(1500), 0), null)
  assert.equal(restarted.decide(readBothClocks(1600), true), null)
  assert.equal(restarted.decide(readBothClocks(1500 + timing.waitMs), true)?.type, 'claim')
})

test('fencing tokens keep increasing across snapshots', () => {
  const table = new LeaseTable()
  createGrantedHolder(table)
  const restored = new LeaseTable(table.save())
  assert.deepEqual(restored.apply({ type: 'claim', duty: 'duty', holder: 'b', seen: restored.find('duty')?.mark ?? 0 }), { type: 'granted', fence: 2 })
})

/** Number of histories; 300 in CI. Run more manually, e.g. with LEASE_HISTORIES=10000. */
const histories = Number(process.env.LEASE_HISTORIES ?? 300)

test('random histories have no late call of a former holder, no fencing token shared by two boxes and no holder that returns within the bound', () => {
  let calls = 0
  let holders = 0
  for (let seed = 1; seed <= histories; seed++) {
    const arrivals = runLeaseHistory({ seed, boxes: 3 + seed % 3, steps: 2000 })
    assert.deepEqual(findFencingViolations(arrivals, boundMs), [], `seed ${seed}`)
    calls += arrivals.length
    holders += new Set(arrivals.map(({ fence }) => fence)).size
  }
  // The check is meaningless if the holders make no calls.
  assert.ok(calls > histories * 100 && holders > histories * 3, `${calls} calls, ${holders} holders`)
})

test('the random histories detect a lease whose validity counts from the reply', () => {
  let caught = 0
  for (let seed = 1; seed <= 100; seed++) if (findFencingViolations(runLeaseHistory({ seed, boxes: 3, steps: 2000, countsFromReply: true }), boundMs).length > 0) caught += 1
  assert.ok(caught > 0)
})

test('a window is settled once and its counts survive snapshots', () => {
  let ledger = new UsageLedger()
  ledger.apply({ type: 'settle', window: 7, counts: [['camp', 3]] })
  ledger = new UsageLedger(ledger.save())
  const repeated = ledger.apply({ type: 'settle', window: 7, counts: [['camp', 4]] })
  assert.deepEqual(repeated, { type: 'settled', settled: { window: 7, counts: [['camp', 3]], isReported: false } })
  ledger.apply({ type: 'note-reported', window: 7 })
  assert.deepEqual(ledger.windows, [{ window: 7, counts: [['camp', 3]], isReported: true }])
  assert.equal(ledger.apply({ type: 'settle', window: 6, counts: [] }).type, 'closed')
})
