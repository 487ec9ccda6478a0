import assert from 'node:assert/strict'
import { test } from 'node:test'
import { countLosses, formatLosses, lossReasons } from '../src/bin/losses.js'
import type { LossReason } from '../src/bin/losses.js'
import { explainRequest, mergeEvents, parseEvent } from '../src/bin/timeline.js'
import { EventLog, HybridClock, formatTime } from '../src/runtime/index.js'

test('parsing a log line yields the logged values', () => {
  const lines: string[] = []
  const log = new EventLog('entry-1', line => lines.push(line), () => 1000)
  const values = ['plain', 'two words', 'a "quoted" one', 'k=v', '', 'a\\b']
  for (const value of values) log.info('said', { value, number: 7, nothing: null })
  assert.equal(lines.length, values.length)
  lines.forEach((line, i) => {
    const event = parseEvent(line)
    assert.equal(event?.fields.get('value'), values[i])
    assert.equal(event?.fields.get('nothing'), '-')
    assert.equal(event?.fields.get('box'), 'entry-1')
  })
})

test('an effect is ordered after its cause even if its box has a slow clock', () => {
  const lines: string[] = []
  const ahead = new EventLog('ahead', line => lines.push(line), () => 5000)
  const behind = new EventLog('behind', line => lines.push(line), () => 1000)
  ahead.info('cause', { request: 'r1' })
  behind.clock.merge(ahead.clock.read())
  behind.info('effect', { request: 'r1' })
  behind.info('other', { request: 'r2' })
  const events = mergeEvents([lines.slice(1).join('\n'), lines[0]], null)
  assert.deepEqual(events.map(event => event.fields.get('event')), ['cause', 'effect', 'other'])
  assert.deepEqual(mergeEvents([lines.join('\n')], 'r1').map(event => event.fields.get('event')), ['cause', 'effect'])
})

test('a hybrid clock never goes back, and advances past received times', () => {
  let now = 100
  const clock = new HybridClock(() => now)
  const first = clock.read()
  now = 50
  const second = clock.read()
  assert.ok(second.ms > first.ms || second.count > first.count)
  clock.merge({ ms: 900, count: 4 })
  assert.equal(formatTime(clock.read()), '900.0005')
})

test('a request is shown with the preceding routing changes on its box for the endpoints it was sent to', () => {
  const lines: string[] = []
  let now = 1000
  const log = new EventLog('gateway-1', line => lines.push(line), () => now)
  const other = new EventLog('gateway-2', line => lines.push(line), () => now)
  log.info('endpoint', { endpoint: 'e1', stage: 'ready' })
  now = 30_000
  log.info('endpoint', { endpoint: 'e1', stage: 'draining' })
  log.info('endpoint', { endpoint: 'e2', stage: 'draining' })
  other.info('endpoint', { endpoint: 'e1', stage: 'gone' })
  log.info('routes-in-force', { version: 4 })
  log.info('exchange', { request: 'r1', outcome: 'ok', attempts: 'e2@0:done' })
  now = 31_000
  log.warn('exchange', { request: 'r2', outcome: 'engine-failed', attempts: 'e1@0:broken' })
  const events = explainRequest([lines.map(line => `  31.0 gateway-1 ${line}`).join('\n')], 'r2').map(event => `${event.fields.get('event')} ${event.fields.get('stage') ?? event.fields.get('outcome') ?? event.fields.get('version')}`)
  assert.deepEqual(events, ['endpoint draining', 'routes-in-force 4', 'exchange engine-failed'])
  assert.deepEqual(explainRequest([lines.join('\n')], 'nobody'), [])
})

const exchanges: readonly { readonly fields: Record<string, string | number>, readonly reason: LossReason }[] = [
  { fields: { outcome: 'ok', firstMs: 90, targetMs: 100, pauseMs: 40, pauseLimitMs: 50 }, reason: 'in-time' },
  { fields: { outcome: 'ok', firstMs: 90, targetMs: 100 }, reason: 'in-time' },
  { fields: { outcome: 'ok', firstMs: 190, targetMs: 100, pauseMs: 70, pauseLimitMs: 50 }, reason: 'late' },
  { fields: { outcome: 'ok', firstMs: 90, targetMs: 100, pauseMs: 70, pauseLimitMs: 50 }, reason: 'pause' },
  { fields: { outcome: 'overloaded' }, reason: 'refused' },
  { fields: { outcome: 'left' }, reason: 'left' },
  { fields: { outcome: 'cut' }, reason: 'broken' },
  { fields: { outcome: 'engine-failed' }, reason: 'broken' },
  { fields: { outcome: 'engine-timeout' }, reason: 'silent' }
]

test('each exchange is counted once, by route, interval and first problem', () => {
  const lines: string[] = []
  let now = 1000
  const log = new EventLog('gateway-1', line => lines.push(line), () => now)
  for (const { fields } of exchanges) log.info('exchange', { route: 'questions', ...fields })
  now = 7000
  log.info('exchange', { route: 'drafts', outcome: 'ok' })
  log.info('refused', { route: 'drafts' })
  const rows = countLosses([lines.join('\n')], 5)
  assert.deepEqual(rows.map(({ route, second }) => [route, second]), [['drafts', 5], ['questions', 0]])
  for (const reason of lossReasons) assert.equal(rows[1].counts[reason], exchanges.filter(one => one.reason === reason).length, reason)
  assert.match(formatLosses(rows), /questions +0 +9/)
  assert.deepEqual(countLosses([''], 5), [])
})
