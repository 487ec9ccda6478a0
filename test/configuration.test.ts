import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import type { KeeperReply } from '../src/protocol/index.js'
import type { LedgerResult } from '../src/coordination/index.js'
import { Deployment, sendChat, waitFor } from './support/deployment.js'

let deployment: Deployment

before(async () => { deployment = await Deployment.start({ port: 21_400, entries: 3, zones: 2 }) })
after(() => deployment.stop())

const composeIntent = (name: string, ms = 900): string => `[classes.${name}]\npriority = 1\nfirstTokenMs = ${ms}\n`

function expectResult (reply: KeeperReply): LedgerResult {
  assert.equal(reply.type, 'result')
  return (reply as Extract<KeeperReply, { type: 'result' }>).result as LedgerResult
}

async function plan (operator: string, intent: string, number?: string): Promise<LedgerResult> {
  const client = deployment.createOperator(operator)
  const reply = await client.call({ type: 'plan', id: client.createCommandId(intent, number), intent })
  client.close()
  return expectResult(reply)
}

async function confirm (operator: string, number: number, command?: string): Promise<LedgerResult> {
  const client = deployment.createOperator(operator)
  const id = client.createCommandId(`confirm ${number}`, command)
  const reply = await client.call({ type: 'command', command: { part: 'config', command: { type: 'confirm', id, plan: number } } })
  client.close()
  return expectResult(reply)
}

function expectPlanNumber (result: LedgerResult): number {
  assert.equal(result.type, 'planned')
  return (result as Extract<LedgerResult, { type: 'planned' }>).plan
}

const waitForRevision = (revision: number): Promise<void> =>
  waitFor(() => deployment.entries.every(entry => entry.configuration.revision >= revision), `revision ${revision} on every box`)

test('a plan takes effect only when it is confirmed, and then on every box', async () => {
  const before = deployment.entries[0].configuration.revision
  const number = expectPlanNumber(await plan('ana', composeIntent('first')))
  assert.equal(deployment.leader?.state.config.revision, before)
  assert.deepEqual(await confirm('ana', number), { type: 'accepted', revision: before + 1 })
  await waitForRevision(before + 1)
  assert.ok(deployment.entries.every(entry => [...entry.configuration.classes.keys()].some(name => name === 'first')))
})

test('of concurrent confirmations on one revision one is accepted, and the others report the conflicting changes', async () => {
  const names = ['ana', 'bea', 'cleo', 'dora']
  const numbers = await Promise.all(names.map(async name => expectPlanNumber(await plan(name, composeIntent(`race-${name}`)))))
  const results = await Promise.all(names.map((name, i) => confirm(name, numbers[i])))
  const accepted = results.filter(result => result.type === 'accepted')
  const conflicts = results.filter(result => result.type === 'conflict')
  assert.equal(accepted.length, 1)
  assert.equal(conflicts.length, 3)
  for (const conflict of conflicts) {
    assert.match((conflict as Extract<LedgerResult, { type: 'conflict' }>).since[0].name, /^race-/)
  }
})

test('a resent command returns its first result and is applied once', async () => {
  const number = expectPlanNumber(await plan('ana', composeIntent('again'), 'p-1'))
  assert.equal(expectPlanNumber(await plan('ana', composeIntent('again'), 'p-1')), number)
  const first = await confirm('ana', number, 'c-1')
  assert.equal(first.type, 'accepted')
  assert.deepEqual(await confirm('ana', number, 'c-1'), first)
  assert.equal((await confirm('ana', number, 'c-2')).type, 'already-confirmed')
})

test('command numbers are scoped to the operator, and reuse with a different body is rejected', async () => {
  const ana = expectPlanNumber(await plan('ana', composeIntent('apart-ana'), 'n-1'))
  const bea = expectPlanNumber(await plan('bea', composeIntent('apart-bea'), 'n-1'))
  assert.notEqual(ana, bea)
  assert.equal((await plan('ana', composeIntent('apart-other'), 'n-1')).type, 'other-command')
})

test('an invalid plan is rejected with all of its mistakes', async () => {
  const client = deployment.createOperator()
  const intent = '[classes.bad]\npriority = 99\nfirstTokenMs = "soon"\nwait = true\n'
  const reply = await client.call({ type: 'plan', id: client.createCommandId(intent), intent })
  client.close()
  assert.equal(reply.type, 'mistakes')
  assert.equal((reply as Extract<KeeperReply, { type: 'mistakes' }>).mistakes.length, 3)
})

test('accepted changes and the results of resent commands survive a leader change', async () => {
  const number = expectPlanNumber(await plan('ana', composeIntent('leader'), 'l-1'))
  const first = await confirm('ana', number, 'l-2')
  const leader = deployment.leader
  const index = deployment.keepers.indexOf(leader as NonNullable<typeof leader>)
  leader?.kill()
  await waitFor(() => deployment.leader !== undefined && deployment.leader !== leader, 'another leader')
  assert.deepEqual(await confirm('ana', number, 'l-2'), first)
  const next = expectPlanNumber(await plan('bea', composeIntent('after-leader')))
  const accepted = await confirm('bea', next)
  assert.equal(accepted.type, 'accepted')
  await deployment.startKeeper(index)
  const { revision } = accepted as Extract<LedgerResult, { type: 'accepted' }>
  await waitFor(() => deployment.keepers[index].state.config.revision === revision, 'the keeper caught up')
  await waitForRevision(revision)
})

test('a box that starts while no keeper runs takes the newest configuration from a peer and serves requests', async () => {
  const { revision } = deployment.entries[0].configuration
  for (const keeper of deployment.keepers) keeper.kill()
  deployment.entries[2].kill()
  await deployment.startEntry(2)
  await waitFor(() => deployment.entries[2].configuration.revision === revision, 'the configuration of a peer')
  assert.equal((await sendChat(`http://127.0.0.1:${deployment.entries[2].port}`)).status, 200)
})
