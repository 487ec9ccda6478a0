/** Costs of a keeper: log size, memory, and time of commands, restarts and snapshots. */
import { mkdtempSync, rmSync, statSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'
import { KeeperState, LogStore, defaultBounds, encodeRecord } from '../coordination/index.js'
import type { KeeperCommand, KeeperSnapshot, LogEntry } from '../coordination/index.js'
import { fitLine } from './fit.js'
import { measureSlope } from './slope.js'
import type { Slope } from './slope.js'
import { measureMedianUs, measureHeapBytes } from './timing.js'

const answerBytes = 200

function composeClaimCommands (i: number): KeeperCommand[] {
  const key = { workspace: `workspace-${i % 4800}`, service: 'bookings', key: `6f1c2a-${i}` }
  const attempt = `entry-12/1796213637769/${i}`
  const body = Buffer.alloc(answerBytes, 65)
  return [
    { part: 'claims', command: { type: 'claim', key, digest: 'x'.repeat(43), attempt, ttlMs: 40_000 } },
    { part: 'claims', command: { type: 'settle', key, attempt, answer: { status: 200, contentType: 'application/json', body } } }
  ]
}

function composeChangeCommands (i: number): KeeperCommand[] {
  const composeWorkspace = (n: number): unknown => ({ keys: ['a'.repeat(64)], defaultClass: 'pitch-question', requestsPerSecond: n, tokensPerMinute: 100_000, streams: 20 })
  const changes = [{ section: 'workspaces', name: `workspace-${i % 4800}`, before: composeWorkspace(i), after: composeWorkspace(i + 1) }]
  const composeCommandId = (kind: string) => ({ operator: 'ana', number: `${kind}-${i}`, digest: 'x'.repeat(43) })
  return [
    { part: 'config', command: { type: 'plan', id: composeCommandId('p'), base: i, changes } },
    { part: 'config', command: { type: 'confirm', id: composeCommandId('c'), plan: i + 1 } }
  ]
}

function buildState (count: number, compose: (i: number) => KeeperCommand[]): KeeperState {
  const state = new KeeperState(defaultBounds, null)
  for (let i = 0; i < count; i++) for (const command of compose(i)) state.apply(command, i)
  return state
}

/** Heap of the state machine by settled claims that it keeps, bytes. */
export function measureClaimMemory (sizes: readonly number[]): Slope {
  return measureSlope('claim-memory', 'claims kept', 'bytes', sizes, count => measureHeapBytes(() => buildState(count, composeClaimCommands)))
}

/** Heap of the state machine by configuration changes, bytes. */
export function measureChangeMemory (sizes: readonly number[]): Slope {
  return measureSlope('change-memory', 'changes in a day', 'bytes', sizes, count => measureHeapBytes(() => buildState(count, composeChangeCommands)))
}

/** Time to apply a claim and its settlement by claims kept, µs. */
export function measureClaimTime (sizes: readonly number[]): Slope {
  return measureSlope('claim-time', 'claims kept', 'µs a claim', sizes, count => {
    const state = buildState(count, composeClaimCommands)
    let next = count
    return measureMedianUs(2000, () => {
      for (let i = 0; i < 2000; i++) {
        next += 1
        for (const command of composeClaimCommands(next)) state.apply(command, next)
      }
    })
  })
}

/** Log bytes of one configuration change (plan and confirmation) and of one claim (claim and settlement). */
export function measureLogBytes (): { readonly change: number, readonly claim: number } {
  const measure = (commands: readonly KeeperCommand[]): number => commands.reduce((sum, command) => {
    const entry: LogEntry = { index: 100_000, term: 12, time: 1_796_213_637_769, content: { type: 'command', command } }
    return sum + encodeRecord({ type: 'entry', entry }).length
  }, 0)
  return { change: measure(composeChangeCommands(1)), claim: measure(composeClaimCommands(1)) }
}

/** Time to open the log and replay it by changes since the last snapshot, ms. Each change is two log entries. */
export async function measureRestart (sizes: readonly number[]): Promise<Slope> {
  const points = []
  for (const count of sizes) points.push({ x: count, y: await timeRestart(count) })
  return { name: 'restart', by: 'changes since the last snapshot', unit: 'ms', points, fit: fitLine(points) }
}

async function timeRestart (changes: number): Promise<number> {
  const folder = mkdtempSync(join(tmpdir(), 'wrenlane-capacity-'))
  try {
    const store = await LogStore.open(folder, 'k')
    const entries: LogEntry[] = []
    for (let i = 0; i < changes; i++) {
      for (const command of composeChangeCommands(i)) entries.push({ index: entries.length + 1, term: 1, time: i, content: { type: 'command', command } })
    }
    await store.persist([{ type: 'persist', hard: { term: 1, vote: null }, entries, snapshot: null }])
    await store.close()
    return await timeOpen(folder)
  } finally {
    rmSync(folder, { recursive: true, force: true })
  }
}

async function timeOpen (folder: string): Promise<number> {
  const startedAt = performance.now()
  const store = await LogStore.open(folder, 'k')
  const state = new KeeperState(defaultBounds, null)
  for (const entry of store.stored.entries) {
    if (entry.content.type === 'command') state.apply(entry.content.command as KeeperCommand, entry.time)
  }
  const ms = performance.now() - startedAt
  await store.close()
  return ms
}

/** Time to write a snapshot after `changes` configuration changes, its size, and the time to restore from it. */
export async function measureSnapshot (changes: number): Promise<{ readonly writeMs: number, readonly bytes: number, readonly readMs: number }> {
  const folder = mkdtempSync(join(tmpdir(), 'wrenlane-capacity-'))
  try {
    const state = buildState(changes, composeChangeCommands)
    const store = await LogStore.open(folder, 'k')
    const startedAt = performance.now()
    await store.persist([{ type: 'persist', hard: null, entries: [], snapshot: { index: changes, term: 1, time: 0, members: { voters: [store.id], learners: [] }, state: state.save() } }])
    const writeMs = performance.now() - startedAt
    await store.close()
    const bytes = statSync(join(folder, 'snapshot')).size
    const reopenedAt = performance.now()
    const reopened = await LogStore.open(folder, 'k')
    const restored = new KeeperState(defaultBounds, reopened.stored.snapshot?.state as KeeperSnapshot)
    const readMs = performance.now() - reopenedAt
    await reopened.close()
    if (restored.config.revision !== changes) throw new Error('restored snapshot has the wrong revision')
    return { writeMs, bytes, readMs }
  } finally {
    rmSync(folder, { recursive: true, force: true })
  }
}

/** Disk syncs a second, each for one small entry, in the directory for temporary files. */
export async function measureSyncs (): Promise<number> {
  const folder = mkdtempSync(join(tmpdir(), 'wrenlane-capacity-'))
  try {
    const store = await LogStore.open(folder, 'k')
    const startedAt = performance.now()
    const count = 200
    for (let i = 1; i <= count; i++) {
      await store.persist([{ type: 'persist', hard: null, entries: [{ index: i, term: 1, time: 0, content: { type: 'noop' } }], snapshot: null }])
    }
    await store.close()
    return count * 1000 / (performance.now() - startedAt)
  } finally {
    rmSync(folder, { recursive: true, force: true })
  }
}
