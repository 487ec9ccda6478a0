import assert from 'node:assert/strict'
import { rmSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import type { OperatorClient } from '../src/bin/operator-client.js'
import type { ReplicaId } from '../src/coordination/index.js'
import type { KeeperBox } from '../src/tasks/index.js'
import { Deployment, until } from './support/deployment.js'

const intentFor = (i: number): string => `[classes.c${i}]\npriority = 1\nfirstTokenMs = ${500 + i}\n`

async function loseDisk (place: Deployment, i: number): Promise<void> {
  place.keepers[i].kill()
  await new Promise(resolve => setTimeout(resolve, 50))
  rmSync(join(place.folder, `keeper-${i + 1}`), { recursive: true, force: true })
  await place.startKeeper(i)
}

async function repair (place: Deployment, i: number): Promise<void> {
  const operator = place.createOperator()
  try {
    const name = `keeper-${i + 1}`
    await until(async () => {
      const reply = await operator.call({ type: 'repair', replace: name, id: operator.identify(name) })
      return reply.type === 'repaired'
    }, `${name} repaired`)
  } finally {
    operator.close()
  }
}

// Gives a keeper an empty disk and kills it when the leader has seen the new replica.
async function loseDiskAndKill (place: Deployment, operator: OperatorClient, i: number): Promise<void> {
  await loseDisk(place, i)
  const fresh = place.keepers[i].store?.id as ReplicaId
  await until(async () => {
    const at = place.keepers.findIndex(keeper => keeper === place.leader)
    const reply = at < 0 ? null : await operator.ask(place.keeperAddresses[at], { type: 'status' })
    return reply?.type === 'status' && reply.status.waiting.includes(fresh)
  }, 'the leader has seen the new replica')
  place.keepers[i].kill()
}

const learners = (place: Deployment): number => place.leader?.replica?.members.learners.length ?? 0

const interruptions: readonly { readonly name: string, readonly interrupt: (place: Deployment) => Promise<void> }[] = [
  {
    name: 'that takes longer than the resend interval',
    interrupt: async place => {
      await new Promise(resolve => setTimeout(resolve, 1500))
      await place.startKeeper(1)
    }
  },
  {
    name: 'during which leadership moves to another keeper and back',
    interrupt: async place => {
      const first = place.leader
      for (let i = 0; i < 2; i++) {
        const { leader } = place
        await leader?.replica?.transfer()
        await until(() => place.leader !== undefined && place.leader !== leader, 'another leader')
      }
      assert.equal(place.leader, first)
      await place.startKeeper(1)
    }
  },
  {
    name: 'during which the disk is lost again',
    interrupt: async place => await loseDisk(place, 1)
  }
]

// Guards against rejecting calls that are resent during a repair or after its completion.
for (const [i, { name, interrupt }] of interruptions.entries()) {
  test(`a repair call and its resends are answered with success: a repair ${name}`, async () => {
    const place = await Deployment.start({ port: 21_850 + 50 * i, entries: 1, engines: 1 })
    const operator = place.createOperator()
    try {
      await loseDiskAndKill(place, operator, 1)
      const body = { type: 'repair', replace: 'keeper-2', id: operator.identify('keeper-2') } as const
      const call = operator.call(body)
      await until(() => learners(place) > 0, 'the new replica is a learner')
      await interrupt(place)
      const reply = await call
      assert.equal(reply.type, 'repaired', JSON.stringify(reply))
      assert.equal((await operator.call(body)).type, 'repaired')
      const fresh = place.keepers[1].store?.id
      assert.deepEqual(place.leader?.replica?.members.voters.filter(id => id.startsWith('keeper-2#')), [fresh])
      assert.equal(voters(place.leader as KeeperBox), 3)
      assert.equal(learners(place), 0)
    } finally {
      operator.close()
      await place.stop()
    }
  })
}

const voters = (keeper: KeeperBox): number => keeper.replica?.members.voters.length ?? 0

test('a keeper with an empty disk has no vote until it is repaired, and nothing accepted is lost', async () => {
  const place = await Deployment.start({ port: 21_600, entries: 1, engines: 1, keeper: { snapshotEvery: 10 } })
  try {
    for (let i = 0; i < 15; i++) await place.configure(intentFor(i))
    const { document, revision } = (place.leader as KeeperBox).state.config
    const old = place.keepers[1].store?.id
    await loseDisk(place, 1)
    await until(() => place.leader !== undefined, 'a leader')
    const fresh = place.keepers[1].store?.id
    assert.notEqual(fresh, old)
    assert.ok(!(place.leader as KeeperBox).replica?.members.voters.some(id => id === fresh))

    await repair(place, 1)
    const members = (place.leader as KeeperBox).replica?.members.voters ?? []
    assert.equal(members.length, 3)
    assert.ok(members.some(id => id === fresh) && !members.some(id => id === old))
    await until(() => place.keepers[1].state.config.revision === revision, 'the new disk holds everything')

    // A second one is lost right after the repair.
    await loseDisk(place, 2)
    await until(() => place.leader !== undefined, 'a leader')
    const next = await place.configure(intentFor(99))
    assert.equal(next, revision + 1)
    await repair(place, 2)
    for (const keeper of place.keepers) {
      await until(() => keeper.state.config.revision === next, 'everything everywhere')
      for (const [name, item] of Object.entries(document.classes)) assert.deepEqual(keeper.state.config.document.classes[name], item)
    }
  } finally {
    await place.stop()
  }
})

test('a repair of a keeper that is a member with its disk changes nothing', async () => {
  const place = await Deployment.start({ port: 21_700, entries: 1, engines: 1 })
  try {
    const operator = place.createOperator()
    const reply = await operator.call({ type: 'repair', replace: 'keeper-2', id: operator.identify('x') })
    operator.close()
    assert.equal(reply.type, 'fault')
    assert.equal(voters(place.leader as KeeperBox), 3)
  } finally {
    await place.stop()
  }
})

test('a restart after hundreds of changes gives back every one', async () => {
  const place = await Deployment.start({ port: 21_800, entries: 1, engines: 1, keeper: { snapshotEvery: 100 } })
  try {
    for (let i = 0; i < 150; i++) await place.configure(intentFor(i))
    const { revision } = (place.leader as KeeperBox).state.config
    for (const keeper of place.keepers) keeper.kill()
    await new Promise(resolve => setTimeout(resolve, 50))
    for (let i = 0; i < 3; i++) await place.startKeeper(i)
    await until(() => place.leader !== undefined, 'a leader')
    await until(() => place.keepers.every(keeper => keeper.state.config.revision === revision), 'every change on every keeper')
    const kept = (place.leader as KeeperBox).state.config.document.classes
    assert.equal(Object.keys(kept).filter(name => /^c\d+$/.test(name)).length, 150)
  } finally {
    await place.stop()
  }
})
