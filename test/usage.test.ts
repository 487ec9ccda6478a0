/**
 * Usage on its way from the box that saw it to the counts that are settled. Tellings
 * come twice, late, by way of several registries, and from boxes that started again.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { UsageBook } from '../src/coordination/index.js'
import type { UsageTelling } from '../src/coordination/index.js'
import { DayClock } from '../src/runtime/index.js'

const tell = (source: string, window: number, camp: number, through = 0): UsageTelling => ({ source, through, windows: [[window, [['camp', camp]]]] })

const sums: readonly { name: string, tellings: readonly UsageTelling[], sum: number }[] = [
  { name: 'two boxes', tellings: [tell('a', 7, 3), tell('b', 7, 4)], sum: 7 },
  { name: 'the same telling twice', tellings: [tell('a', 7, 3), tell('a', 7, 3)], sum: 3 },
  { name: 'an older telling after a newer one', tellings: [tell('a', 7, 5), tell('a', 7, 3)], sum: 5 },
  { name: 'a box that started again', tellings: [tell('a', 7, 5), tell('a of a later start', 7, 2)], sum: 7 },
  { name: 'another window', tellings: [tell('a', 7, 5), tell('a', 8, 9)], sum: 5 }
]

for (const { name, tellings, sum } of sums) {
  test(`each request counts once: ${name}`, () => {
    // As the leader hears it, and as it hears it by way of another registry.
    const leader = new UsageBook()
    const relay = new UsageBook()
    for (const telling of tellings) {
      relay.note(telling, 0)
      for (const told of relay.takeNews(false)) leader.note(told, 0)
    }
    for (const told of relay.takeNews(true)) leader.note(told, 0)
    assert.deepEqual(leader.sum(7), [['camp', sum]])
    assert.deepEqual(relay.sum(7), [['camp', sum]])
  })
}

test('news is told once, what a box has told all of is no longer waited for, and settled windows are dropped', () => {
  const book = new UsageBook()
  book.note(tell('a', 7, 3, 8000), 100)
  book.note(tell('b', 7, 3, 9000), 100)
  assert.equal(book.takeNews(false).length, 2)
  assert.deepEqual(book.takeNews(false), [])
  assert.equal(book.countBehind(8500, 0), 1)
  assert.equal(book.countBehind(8500, 101), 0)
  book.note({ source: 'a', through: 9000, windows: [] }, 200)
  assert.deepEqual(book.takeNews(false), [{ source: 'a', through: 9000, windows: [] }])
  assert.equal(book.countBehind(8500, 0), 0)
  book.forget(8, 300)
  assert.deepEqual(book.sum(7), [])
})

const clocks: readonly { name: string, wall: (steady: number) => number, at: number, day: number }[] = [
  { name: 'a clock that is right', wall: steady => 1e12 + steady, at: 5000, day: 1e12 + 5000 },
  { name: 'a small correction', wall: steady => 1e12 + steady + (steady >= 5000 ? 60 : 0), at: 5000, day: 1e12 + 5060 },
  { name: 'a clock that was just set ahead', wall: steady => 1e12 + steady + (steady >= 3000 ? 4000 : 0), at: 5000, day: 1e12 + 5000 },
  { name: 'a clock that was just set back', wall: steady => 1e12 + steady - (steady >= 3000 ? 4000 : 0), at: 5000, day: 1e12 + 5000 },
  { name: 'a clock that was set and stayed so', wall: steady => 1e12 + steady + (steady >= 3000 ? 4000 : 0), at: 70_000, day: 1e12 + 74_000 }
]

for (const { name, wall, at, day } of clocks) {
  test(`the time of day that windows go by: ${name}`, () => {
    let steady = 0
    const clock = new DayClock(() => steady, () => wall(steady))
    for (; steady < at; steady += 500) clock.read()
    assert.equal(clock.read(), day)
  })
}
