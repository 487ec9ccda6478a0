import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { DamagedLogError, LogStore, decodeRecords, encodeRecord } from '../src/coordination/index.js'
import type { LogEntry, LogRecord, Members, ReplicaId, Snapshot } from '../src/coordination/index.js'

const members: Members = { voters: ['a#1' as ReplicaId], learners: [] }
const createEntry = (index: number, term = 1): LogEntry => ({ index, term, time: index, content: { type: 'command', command: `c${index}` } })
const createMark = (synced: number): LogRecord => ({ type: 'mark', synced })

/** A file of two batches; the second starts with a mark of the first one's length. */
function composeFile (): { bytes: Buffer, firstBatch: number } {
  const first = Buffer.concat([createMark(0), { type: 'entry' as const, entry: createEntry(1) }, { type: 'entry' as const, entry: createEntry(2) }].map(encodeRecord))
  const second = Buffer.concat([createMark(first.length), { type: 'entry' as const, entry: createEntry(3) }].map(encodeRecord))
  return { bytes: Buffer.concat([first, second]), firstBatch: first.length }
}

function countEntries (bytes: Buffer): number {
  return decodeRecords(bytes).records.filter(record => record.type === 'entry').length
}

const { bytes: file, firstBatch } = composeFile()
const flipByte = (at: number): Buffer => {
  const copy = Buffer.from(file)
  copy[at] ^= 0xff
  return copy
}

const readable: { name: string, bytes: Buffer, entries: number }[] = [
  { name: 'a complete file', bytes: file, entries: 3 },
  { name: 'an empty file', bytes: Buffer.alloc(0), entries: 0 },
  { name: 'a file with a truncated last record', bytes: file.subarray(0, file.length - 3), entries: 2 },
  { name: 'a file with a truncated header', bytes: file.subarray(0, firstBatch + 5), entries: 2 },
  { name: 'a file whose last batch never reached the disk', bytes: Buffer.concat([file.subarray(0, firstBatch), Buffer.alloc(40)]), entries: 2 }
]

for (const { name, bytes, entries } of readable) {
  test(`${name} is read up to the last complete record`, () => assert.equal(countEntries(bytes), entries))
}

const damaged: { name: string, bytes: Buffer }[] = [
  { name: 'in the middle of the first batch', bytes: flipByte(40) },
  { name: 'in the length of an early record', bytes: flipByte(24) },
  { name: 'in the last record', bytes: flipByte(file.length - 2) }
]

for (const { name, bytes } of damaged) {
  test(`damage ${name} stops the replica`, () => assert.throws(() => decodeRecords(bytes), DamagedLogError))
}

test('a file truncated at any length is read without an error', () => {
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

test('a store returns what was synced, across snapshots and restarts', () => withFolder(async folder => {
  const first = await LogStore.open(folder, 'a')
  await first.persist([{ type: 'persist', hard: { term: 2, vote: first.id }, entries: [createEntry(1), createEntry(2), createEntry(3)], snapshot: null }])
  await first.persist([{ type: 'persist', hard: null, entries: [createEntry(3, 2), createEntry(4, 2)], snapshot: null }])
  const snapshot: Snapshot = { index: 3, term: 2, time: 3, members, state: { x: 1 } }
  await first.persist([{ type: 'persist', hard: null, entries: [], snapshot }])
  await first.persist([{ type: 'persist', hard: null, entries: [createEntry(5, 2)], snapshot: null }])
  await first.close()
  const reopened = await LogStore.open(folder, 'a')
  assert.equal(reopened.id, first.id)
  assert.deepEqual(reopened.stored.hard, { term: 2, vote: first.id })
  assert.deepEqual(reopened.stored.snapshot, snapshot)
  assert.deepEqual(reopened.stored.entries.map(one => [one.index, one.term]), [[4, 2], [5, 2]])
  assert.equal(readdirSync(folder).filter(name => name.startsWith('log.')).length, 1)
  await reopened.close()
}))

test('an empty folder creates a replica with another id', () => withFolder(async folder => {
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
