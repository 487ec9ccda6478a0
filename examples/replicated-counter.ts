/** A counter replicated by three replicas in one process, with logs on disk. Run: node dist/examples/replicated-counter.js */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { LogStore, Replica } from '../src/coordination/index.js'
import type { ReplicaId } from '../src/coordination/index.js'

const folder = mkdtempSync(join(tmpdir(), 'counter-'))
const names = ['a', 'b', 'c']
const stores = await Promise.all(names.map(name => LogStore.open(join(folder, name), name)))
const voters = stores.map(store => store.id)
const replicas = new Map<ReplicaId, Replica>()

for (const store of stores) {
  // A new log starts from an initial snapshot with the same members everywhere; an existing log keeps its own.
  if (store.stored.snapshot === null) {
    const snapshot = { index: 1, term: 1, time: 0, members: { voters, learners: [] }, state: 0 }
    await store.persist([{ type: 'persist', hard: { term: 1, vote: null }, entries: [], snapshot }])
  }
  let count = 0
  replicas.set(store.id, new Replica(store, {
    machine: {
      apply: command => { count += command as number; return count },
      save: () => count,
      restore: state => { count = state as number }
    },
    timing: { heartbeatMs: 30, electionMs: 150 },
    snapshotEvery: 1000,
    send: (to, message) => setImmediate(() => replicas.get(to)?.receive(store.id, message)),
    now: () => performance.now(),
    wall: Date.now,
    random: Math.random,
    noteRole: (role, term) => { if (role === 'leader') console.log(`${store.id} is leader of term ${term}`) },
    noteViolation: (rule, detail) => console.error(rule, detail),
    noteApplied: () => {},
    noteDiskFault: error => console.error(error)
  }))
}

const findLeader = (): Replica | undefined => [...replicas.values()].find(replica => replica.isLeader)
while (findLeader() === undefined) await new Promise(resolve => setTimeout(resolve, 20))
const outcomes = await Promise.all(Array.from({ length: 100 }, () => findLeader()?.propose(1)))
console.log('the counter is', outcomes.map(outcome => outcome?.type === 'applied' ? outcome.result as number : 0).sort((a, b) => b - a)[0])
for (const replica of replicas.values()) replica.stop()
rmSync(folder, { recursive: true, force: true })
