/**
 * Leases on duties: what the other side sees of their holders. It doesn't look at
 * fences itself, so that one late call of an earlier holder does harm.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaseBook, LeaseHolder, UsageLedger, planLeaseTiming } from '../src/coordination/index.js'
import type { ClockReading, LeaseCommand } from '../src/coordination/index.js'
import { boundMs, playLeaseHistory } from '../src/proof/index.js'
import { findBreaches } from '../src/standin/index.js'

const timing = planLeaseTiming(3000)
const both = (ms: number): ClockReading => ({ steady: ms, wall: ms })

/** A holder that was granted the lease, which it asked for at 1,000 and was answered at 1,400. */
function grantAt (book = new LeaseBook()): LeaseHolder {
  const holder = new LeaseHolder('duty', 'a', timing, both(0))
  const command = holder.decide(both(1000), true)
  assert.equal(command?.type, 'claim')
  const result = book.apply(command as LeaseCommand)
  holder.observe(book.find('duty'), both(1400))
  holder.noteEnd(result)
  return holder
}

const whileHeld: readonly { name: string, now: ClockReading, needMs: number, may: boolean }[] = [
  { name: 'right after the answer', now: both(1400), needMs: 700, may: true },
  { name: 'counted from its question, not from its answer', now: both(1000 + timing.holdMs - 699), needMs: 700, may: false },
  { name: 'just in time', now: both(1000 + timing.holdMs - 700), needMs: 700, may: true },
  { name: 'where the steady clock stood still', now: { steady: 1500, wall: 9000 }, needMs: 0, may: false },
  { name: 'where the time of day was set back', now: { steady: 9000, wall: 1100 }, needMs: 0, may: false },
  { name: 'where the time of day was set ahead', now: { steady: 1500, wall: 9000 }, needMs: 0, may: false }
]

for (const { name, now, needMs, may } of whileHeld) {
  test(`a holder ${may ? 'may' : 'may not'} act: ${name}`, () => {
    assert.equal(grantAt().findFence(now, needMs), may ? 1 : null)
  })
}

test('another claims only after the mark stood still by its own steady clock, and gets a higher fence', () => {
  const book = new LeaseBook()
  grantAt(book)
  const other = new LeaseHolder('duty', 'b', timing, both(0))
  other.observe(book.find('duty'), both(1410))
  assert.equal(other.decide({ steady: 1410 + timing.waitMs - 1, wall: 99_999 }, true), null)
  const claim = other.decide(both(1410 + timing.waitMs), true)
  assert.equal(claim?.type, 'claim')
  other.noteEnd(book.apply(claim as LeaseCommand))
  assert.equal(other.findFence(both(1420 + timing.waitMs), 0), 2)
  assert.ok(timing.waitMs > timing.holdMs)
})

test('a claim that a renewal overtook changes nothing', () => {
  const book = new LeaseBook()
  const first = grantAt(book)
  const seen = book.find('duty')?.mark ?? 0
  const renewal = first.decide(both(1000 + timing.renewMs), true)
  first.noteEnd(book.apply(renewal as LeaseCommand))
  assert.equal(book.apply({ type: 'claim', duty: 'duty', holder: 'b', seen }).type, 'refused')
  assert.equal(book.find('duty')?.holder, 'a')
})

test('a lease that is given back is taken at once by another, not by one that had it shortly before', () => {
  const book = new LeaseBook()
  const first = grantAt(book)
  book.apply(first.release() as LeaseCommand)
  assert.equal(first.findFence(both(1500), 0), null)
  const second = new LeaseHolder('duty', 'b', timing, both(0))
  second.observe(book.find('duty'), both(1500))
  second.noteEnd(book.apply(second.decide(both(1501), true) as LeaseCommand))
  assert.equal(second.findFence(both(1510), 0), 2)
  book.apply(second.release() as LeaseCommand)
  // The first has started again meanwhile, and knows only what the log says.
  const again = new LeaseHolder('duty', 'a', timing, both(1600))
  again.observe(book.find('duty'), both(1650))
  assert.equal(again.decide(both(1600 + timing.cooldownMs - 1), true), null)
  assert.equal(again.decide(both(1600 + timing.cooldownMs), true)?.type, 'claim')
})

test('one that started again is not the holder that it was', () => {
  const book = new LeaseBook()
  grantAt(book)
  const again = new LeaseHolder('duty', 'a', timing, both(1500))
  again.observe(book.find('duty'), both(1500))
  assert.equal(again.findFence(both(1500), 0), null)
  assert.equal(again.decide(both(1600), true), null)
  assert.equal(again.decide(both(1500 + timing.waitMs), true)?.type, 'claim')
})

test('fences rise through snapshots', () => {
  const book = new LeaseBook()
  grantAt(book)
  const later = new LeaseBook(book.save())
  assert.deepEqual(later.apply({ type: 'claim', duty: 'duty', holder: 'b', seen: later.find('duty')?.mark ?? 0 }), { type: 'granted', fence: 2 })
})

/** Histories in CI; ten thousand and more are played by hand: LEASE_HISTORIES=10000. */
const histories = Number(process.env.LEASE_HISTORIES ?? 300)

test('over random histories no late call of an earlier holder, no fence of two boxes, no box back within the bound', () => {
  let calls = 0
  let holders = 0
  for (let seed = 1; seed <= histories; seed++) {
    const arrivals = playLeaseHistory({ seed, boxes: 3 + seed % 3, steps: 2000 })
    assert.deepEqual(findBreaches(arrivals, boundMs), [], `seed ${seed}`)
    calls += arrivals.length
    holders += new Set(arrivals.map(({ fence }) => fence)).size
  }
  // Histories in which nobody acts would show nothing.
  assert.ok(calls > histories * 100 && holders > histories * 3, `${calls} calls, ${holders} holders`)
})

test('the histories catch a lease that is counted from its answer', () => {
  let caught = 0
  for (let seed = 1; seed <= 100; seed++) if (findBreaches(playLeaseHistory({ seed, boxes: 3, steps: 2000, countsFromAnswer: true }), boundMs).length > 0) caught += 1
  assert.ok(caught > 0)
})

test('a window is settled once, and what was settled stands through snapshots', () => {
  let ledger = new UsageLedger()
  ledger.apply({ type: 'settle', window: 7, counts: [['camp', 3]] })
  ledger = new UsageLedger(ledger.save())
  const again = ledger.apply({ type: 'settle', window: 7, counts: [['camp', 4]] })
  assert.deepEqual(again, { type: 'settled', settled: { window: 7, counts: [['camp', 3]], isReported: false } })
  ledger.apply({ type: 'note-reported', window: 7 })
  assert.deepEqual(ledger.windows, [{ window: 7, counts: [['camp', 3]], isReported: true }])
  assert.equal(ledger.apply({ type: 'settle', window: 6, counts: [] }).type, 'closed')
})
