import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import type { KeeperReply } from '../src/protocol/index.js'
import type { LedgerResult } from '../src/coordination/index.js'
import { Deployment, chat, until } from './support/deployment.js'

let place: Deployment

before(async () => { place = await Deployment.start({ port: 21_400, entries: 3, zones: 2 }) })
after(() => place.stop())

const intentFor = (name: string, ms = 900): string => `[classes.${name}]\npriority = 1\nfirstTokenMs = ${ms}\n`

function expectResult (reply: KeeperReply): LedgerResult {
  assert.equal(reply.type, 'result')
  return (reply as Extract<KeeperReply, { type: 'result' }>).result as LedgerResult
}

async function plan (operator: string, intent: string, number?: string): Promise<LedgerResult> {
  const client = place.createOperator(operator)
  const reply = await client.call({ type: 'plan', id: client.identify(intent, number), intent })
  client.close()
  return expectResult(reply)
}

async function confirm (operator: string, number: number, command?: string): Promise<LedgerResult> {
  const client = place.createOperator(operator)
  const id = client.identify(`confirm ${number}`, command)
  const reply = await client.call({ type: 'command', command: { part: 'config', command: { type: 'confirm', id, plan: number } } })
  client.close()
  return expectResult(reply)
}

function planNumber (result: LedgerResult): number {
  assert.equal(result.type, 'planned')
  return (result as Extract<LedgerResult, { type: 'planned' }>).plan
}

const inForce = (revision: number): Promise<void> =>
  until(() => place.entries.every(entry => entry.configuration.revision >= revision), `revision ${revision} on every box`)

test('nothing changes until a plan is confirmed, and then everywhere', async () => {
  const before = place.entries[0].configuration.revision
  const number = planNumber(await plan('ana', intentFor('first')))
  assert.equal(place.leader?.state.config.revision, before)
  assert.deepEqual(await confirm('ana', number), { type: 'accepted', revision: before + 1 })
  await inForce(before + 1)
  assert.ok(place.entries.every(entry => [...entry.configuration.classes.keys()].some(name => name === 'first')))
})

test('of operators that race on one revision one wins, and the others see what changed', async () => {
  const names = ['ana', 'bea', 'cleo', 'dora']
  const numbers = await Promise.all(names.map(async name => planNumber(await plan(name, intentFor(`race-${name}`)))))
  const results = await Promise.all(names.map((name, i) => confirm(name, numbers[i])))
  const accepted = results.filter(result => result.type === 'accepted')
  const conflicts = results.filter(result => result.type === 'conflict')
  assert.equal(accepted.length, 1)
  assert.equal(conflicts.length, 3)
  for (const conflict of conflicts) {
    assert.match((conflict as Extract<LedgerResult, { type: 'conflict' }>).since[0].name, /^race-/)
  }
})

test('a command sent again gets its first answer, and changes nothing twice', async () => {
  const number = planNumber(await plan('ana', intentFor('again'), 'p-1'))
  assert.equal(planNumber(await plan('ana', intentFor('again'), 'p-1')), number)
  const first = await confirm('ana', number, 'c-1')
  assert.equal(first.type, 'accepted')
  assert.deepEqual(await confirm('ana', number, 'c-1'), first)
  assert.equal((await confirm('ana', number, 'c-2')).type, 'already-confirmed')
})

test('one command number of two operators, or with another body, is told apart', async () => {
  const ana = planNumber(await plan('ana', intentFor('apart-ana'), 'n-1'))
  const bea = planNumber(await plan('bea', intentFor('apart-bea'), 'n-1'))
  assert.notEqual(ana, bea)
  assert.equal((await plan('ana', intentFor('apart-other'), 'n-1')).type, 'other-command')
})

test('a plan with mistakes is refused with all of them, and changes nothing', async () => {
  const client = place.createOperator()
  const intent = '[classes.bad]\npriority = 99\nfirstTokenMs = "soon"\nwait = true\n'
  const reply = await client.call({ type: 'plan', id: client.identify(intent), intent })
  client.close()
  assert.equal(reply.type, 'mistakes')
  assert.equal((reply as Extract<KeeperReply, { type: 'mistakes' }>).mistakes.length, 3)
})

test('what was accepted survives a change of leader, and the resent command its answer', async () => {
  const number = planNumber(await plan('ana', intentFor('leader'), 'l-1'))
  const first = await confirm('ana', number, 'l-2')
  const leader = place.leader
  const index = place.keepers.indexOf(leader as NonNullable<typeof leader>)
  leader?.kill()
  await until(() => place.leader !== undefined && place.leader !== leader, 'another leader')
  assert.deepEqual(await confirm('ana', number, 'l-2'), first)
  const next = planNumber(await plan('bea', intentFor('after-leader')))
  const accepted = await confirm('bea', next)
  assert.equal(accepted.type, 'accepted')
  await place.startKeeper(index)
  const { revision } = accepted as Extract<LedgerResult, { type: 'accepted' }>
  await until(() => place.keepers[index].state.config.revision === revision, 'the keeper caught up')
  await inForce(revision)
})

test('a box that starts while the keepers are away takes the newest of its zone, and serves', async () => {
  const { revision } = place.entries[0].configuration
  for (const keeper of place.keepers) keeper.kill()
  place.entries[2].kill()
  await place.startEntry(2)
  await until(() => place.entries[2].configuration.revision === revision, 'the configuration of a peer')
  assert.equal((await chat(`http://127.0.0.1:${place.entries[2].port}`)).status, 200)
})
