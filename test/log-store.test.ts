import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { DamagedLogError, LogStore, decodeRecords, encodeRecord } from '../src/coordination/index.js'
import type { LogEntry, LogRecord, Members, ReplicaId, Snapshot } from '../src/coordination/index.js'

const members: Members = { voters: ['a#1' as ReplicaId], learners: [] }
const entry = (index: number, term = 1): LogEntry => ({ index, term, time: index, content: { type: 'command', command: `c${index}` } })
const mark = (synced: number): LogRecord => ({ type: 'mark', synced })

/** A file of two batches; the second begins with the length of the first. */
function composeFile (): { bytes: Buffer, firstBatch: number } {
  const first = Buffer.concat([mark(0), { type: 'entry' as const, entry: entry(1) }, { type: 'entry' as const, entry: entry(2) }].map(encodeRecord))
  const second = Buffer.concat([mark(first.length), { type: 'entry' as const, entry: entry(3) }].map(encodeRecord))
  return { bytes: Buffer.concat([first, second]), firstBatch: first.length }
}

function countEntries (bytes: Buffer): number {
  return decodeRecords(bytes).records.filter(record => record.type === 'entry').length
}

const { bytes: file, firstBatch } = composeFile()
const flip = (at: number): Buffer => {
  const copy = Buffer.from(file)
  copy[at] ^= 0xff
  return copy
}

const readable: { name: string, bytes: Buffer, entries: number }[] = [
  { name: 'a whole file', bytes: file, entries: 3 },
  { name: 'an empty file', bytes: Buffer.alloc(0), entries: 0 },
  { name: 'a last record cut short', bytes: file.subarray(0, file.length - 3), entries: 2 },
  { name: 'a header cut short', bytes: file.subarray(0, firstBatch + 5), entries: 2 },
  { name: 'a last batch that the disk never took', bytes: Buffer.concat([file.subarray(0, firstBatch), Buffer.alloc(40)]), entries: 2 }
]

for (const { name, bytes, entries } of readable) {
  test(`${name} is read as far as it can have been acknowledged`, () => assert.equal(countEntries(bytes), entries))
}

const damaged: { name: string, bytes: Buffer }[] = [
  { name: 'in the middle of the first batch', bytes: flip(40) },
  { name: 'in the length of an early record', bytes: flip(24) },
  { name: 'in the last record', bytes: flip(file.length - 2) }
]

for (const { name, bytes } of damaged) {
  test(`damage ${name} stops the replica`, () => assert.throws(() => decodeRecords(bytes), DamagedLogError))
}

test('every cut of a file gives a beginning of its entries, and never an error', () => {
  for (let length = 0; length <= file.length; length++) assert.ok(countEntries(file.subarray(0, length)) <= 3)
})

async function withFolder (run: (folder: string) => Promise<void>): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'wrenlane-store-'))
  try {
    await run(folder)
  } finally {
    rmSync(folder, { recursive: true, force: true })
  }
}

test('a store gives back what was synced, through snapshots and restarts', () => withFolder(async folder => {
  const first = await LogStore.open(folder, 'a')
  await first.persist([{ type: 'persist', hard: { term: 2, vote: first.id }, entries: [entry(1), entry(2), entry(3)], snapshot: null }])
  await first.persist([{ type: 'persist', hard: null, entries: [entry(3, 2), entry(4, 2)], snapshot: null }])
  const snapshot: Snapshot = { index: 3, term: 2, time: 3, members, state: { x: 1 } }
  await first.persist([{ type: 'persist', hard: null, entries: [], snapshot }])
  await first.persist([{ type: 'persist', hard: null, entries: [entry(5, 2)], snapshot: null }])
  await first.close()
  const again = await LogStore.open(folder, 'a')
  assert.equal(again.id, first.id)
  assert.deepEqual(again.stored.hard, { term: 2, vote: first.id })
  assert.deepEqual(again.stored.snapshot, snapshot)
  assert.deepEqual(again.stored.entries.map(one => [one.index, one.term]), [[4, 2], [5, 2]])
  assert.equal(readdirSync(folder).filter(name => name.startsWith('log.')).length, 1)
  await again.close()
}))

test('an emptied disk makes another replica', () => withFolder(async folder => {
  const first = await LogStore.open(join(folder, '1'), 'a')
  const second = await LogStore.open(join(folder, '2'), 'a')
  assert.notEqual(first.id, second.id)
  assert.match(first.id, /^a#/)
  await first.close()
  await second.close()
}))

test('a damaged snapshot stops the replica', () => withFolder(async folder => {
  const store = await LogStore.open(folder, 'a')
  await store.persist([{ type: 'persist', hard: null, entries: [], snapshot: { index: 1, term: 1, time: 0, members, state: null } }])
  await store.close()
  const path = join(folder, 'snapshot')
  const bytes = readFileSync(path)
  bytes[bytes.length - 1] ^= 1
  writeFileSync(path, bytes)
  await assert.rejects(LogStore.open(folder, 'a'), /damaged snapshot/)
}))
