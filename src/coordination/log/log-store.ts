/**
 * A replica's log on disk, in one data folder: `identity.json` (the replica id),
 * `snapshot` and `log.<n>`. Files are replaced atomically: a new file is written
 * next to the old one, synced and renamed.
 */
import { randomBytes } from 'node:crypto'
import { open, readFile, readdir, rename, mkdir, rm } from 'node:fs/promises'
import type { FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { crc32 } from 'node:zlib'
import { decode, encode } from 'cbor-x'
import { EntryList } from './entry-list.js'
import type { HardState, ReplicaId, Snapshot, StoredLog } from './log-types.js'
import type { RaftEffect } from './raft-event.js'
import { decodeRecords, encodeRecord } from './record-file.js'
import type { LogRecord } from './record-file.js'

type PersistEffect = Extract<RaftEffect, { type: 'persist' }>

/** Policy for failed writes: a write is retried until it succeeds, and nothing is acknowledged until then. */
export interface DiskRetryPolicy {
  readonly retryMs: number
  /** Called at the first failure of a write. */
  noteFault (error: Error): void
  /** Called when the failed write has succeeded. */
  noteRecovered (): void
}

const identityFile = 'identity.json'
const snapshotFile = 'snapshot'
/** Smaller logs are never compacted because of their size: a snapshot costs two additional syncs. */
const minOversizedBytes = 16 * 2 ** 20
/** Larger logs may grow to this multiple of the snapshot's size, so that snapshots are only a fraction of the bytes written. */
const maxLogToSnapshotRatio = 2
const initialHardState: HardState = { term: 0, vote: null }

export class LogStore {
  readonly folder: string
  readonly id: ReplicaId
  #entries: EntryList
  #hardState: HardState
  #file: FileHandle
  #generation: number
  #length: number
  #snapshotBytes = 0
  #diskRetry: DiskRetryPolicy | null
  #isClosed = false

  private constructor (folder: string, id: ReplicaId, list: EntryList, hard: HardState, file: FileHandle, generation: number, length: number, diskRetry: DiskRetryPolicy | null) {
    this.folder = folder
    this.id = id
    this.#entries = list
    this.#hardState = hard
    this.#file = file
    this.#generation = generation
    this.#length = length
    this.#diskRetry = diskRetry
  }

  /**
   * Opens the folder, or creates it with a new replica id made of the keeper's
   * `name` and `idSuffix` (random if omitted). Without `diskRetry` a failed
   * write is thrown. Throws `DamagedLogError` if acknowledged records can't be read.
   */
  static async open (folder: string, name: string, idSuffix?: string, diskRetry: DiskRetryPolicy | null = null): Promise<LogStore> {
    await mkdir(folder, { recursive: true })
    const id = await readIdentity(folder, name, idSuffix)
    const snapshot = await readSnapshot(folder)
    const generation = await findGeneration(folder)
    const path = join(folder, `log.${generation}`)
    const file = await open(path, 'a+')
    const bytes = await readFile(path)
    const { records, length } = decodeRecords(bytes)
    if (length < bytes.length) {
      await file.truncate(length)
      await file.sync()
    }
    const { list, hard } = replay(snapshot, records)
    await syncFolder(folder)
    return new LogStore(folder, id, list, hard, file, generation, length, diskRetry)
  }

  /** True if the log file is so much larger than the snapshot that it should be compacted. */
  get isOversized (): boolean { return this.#length > Math.max(minOversizedBytes, this.#snapshotBytes * maxLogToSnapshotRatio) }

  /** The complete stored state, for starting a replica. */
  get stored (): StoredLog {
    return { hard: this.#hardState, snapshot: this.#entries.snapshot, entries: this.#entries.slice(this.#entries.snapshotIndex + 1, Infinity) }
  }

  /** Writes the effects in order and syncs once. Calls must not overlap. */
  async persist (effects: readonly PersistEffect[]): Promise<void> {
    const snapshot = effects.findLast(effect => effect.snapshot !== null)?.snapshot ?? null
    const buffers = [encodeRecord({ type: 'mark', synced: this.#length })]
    for (const effect of effects) this.#recordEffect(effect, buffers)
    const bytes = Buffer.concat(buffers)
    await this.#writeWithRetry(() => snapshot !== null ? this.#rewrite(snapshot) : this.#append(bytes))
  }

  // Removes the partial data of a failed write before appending.
  async #append (bytes: Buffer): Promise<void> {
    const { size } = await this.#file.stat()
    if (size > this.#length) await this.#file.truncate(this.#length)
    await this.#file.appendFile(bytes)
    await this.#file.datasync()
    this.#length += bytes.length
  }

  async #writeWithRetry (write: () => Promise<void>): Promise<void> {
    const diskRetry = this.#diskRetry
    if (diskRetry === null) return await write()
    for (let hasFailed = false; ; hasFailed = true) {
      try {
        await write()
        if (hasFailed) diskRetry.noteRecovered()
        return
      } catch (error) {
        if (this.#isClosed) throw error
        if (!hasFailed) diskRetry.noteFault(error as Error)
        await new Promise(resolve => setTimeout(resolve, diskRetry.retryMs))
      }
    }
  }

  /** Closes the files; a write that is still being retried is abandoned and throws. */
  async close (): Promise<void> {
    this.#isClosed = true
    await this.#file.close()
  }

  #recordEffect (effect: PersistEffect, buffers: Buffer[]): void {
    if (effect.hard !== null) {
      this.#hardState = effect.hard
      buffers.push(encodeRecord({ type: 'hard', hard: effect.hard }))
    }
    this.#entries.append(effect.entries)
    for (const entry of effect.entries) buffers.push(encodeRecord({ type: 'entry', entry }))
    if (effect.snapshot !== null) this.#entries.compact(effect.snapshot)
  }

  // The snapshot must be durable before the new log file, which lacks the compacted entries.
  async #rewrite (snapshot: Snapshot): Promise<void> {
    const encoded = encodeSnapshot(snapshot)
    await writeAtomically(this.folder, snapshotFile, encoded)
    this.#snapshotBytes = encoded.length
    const records: LogRecord[] = [{ type: 'mark', synced: 0 }, { type: 'hard', hard: this.#hardState }]
    for (const entry of this.#entries.slice(this.#entries.snapshotIndex + 1, Infinity)) records.push({ type: 'entry', entry })
    const bytes = Buffer.concat(records.map(encodeRecord))
    const old = this.#generation
    this.#generation += 1
    await writeAtomically(this.folder, `log.${this.#generation}`, bytes)
    await this.#file.close()
    this.#file = await open(join(this.folder, `log.${this.#generation}`), 'a+')
    await rm(join(this.folder, `log.${old}`))
    this.#length = bytes.length
  }
}

function replay (snapshot: Snapshot | null, records: readonly LogRecord[]): { list: EntryList, hard: HardState } {
  const list = new EntryList(snapshot, [])
  let hard = initialHardState
  for (const record of records) {
    switch (record.type) {
      case 'mark': break
      case 'hard':
        hard = record.hard
        break
      case 'entry':
        // The log file may be older than the snapshot and repeat entries that it covers.
        if (record.entry.index > list.snapshotIndex) list.append([record.entry])
        break
    }
  }
  return { list, hard }
}

async function readIdentity (folder: string, name: string, idSuffix: string | undefined): Promise<ReplicaId> {
  const text = await readFile(join(folder, identityFile), 'utf8').catch(allowMissing)
  if (text !== null) return (JSON.parse(text) as { replica: ReplicaId }).replica
  const replica = `${name}#${idSuffix ?? randomBytes(6).toString('hex')}` as ReplicaId
  await writeAtomically(folder, identityFile, Buffer.from(JSON.stringify({ replica })))
  return replica
}

async function readSnapshot (folder: string): Promise<Snapshot | null> {
  const bytes = await readFile(join(folder, snapshotFile)).catch(allowMissing)
  if (bytes === null) return null
  const body = bytes.subarray(4)
  if (crc32(body) !== bytes.readUInt32LE(0)) throw new Error(`damaged snapshot in ${folder}`)
  return decode(body) as Snapshot
}

function encodeSnapshot (snapshot: Snapshot): Buffer {
  const body = encode(snapshot)
  const header = Buffer.allocUnsafe(4)
  header.writeUInt32LE(crc32(body), 0)
  return Buffer.concat([header, body])
}

// The newest generation is complete, because a file is synced before it is renamed; older ones are removed.
async function findGeneration (folder: string): Promise<number> {
  const names = await readdir(folder)
  let newest = 0
  for (const name of names) {
    const match = /^log\.(\d+)$/.exec(name)
    if (match !== null) newest = Math.max(newest, Number(match[1]))
  }
  for (const name of names) {
    const match = /^log\.(\d+)$/.exec(name)
    if (match !== null && Number(match[1]) < newest) await rm(join(folder, name))
  }
  return newest
}

async function writeAtomically (folder: string, name: string, bytes: Buffer): Promise<void> {
  const path = join(folder, `${name}.new`)
  const file = await open(path, 'w')
  await file.writeFile(bytes)
  await file.sync()
  await file.close()
  await rename(path, join(folder, name))
  await syncFolder(folder)
}

async function syncFolder (folder: string): Promise<void> {
  const handle = await open(folder, 'r')
  await handle.sync()
  await handle.close()
}

function allowMissing (error: NodeJS.ErrnoException): null {
  if (error.code === 'ENOENT') return null
  throw error
}
