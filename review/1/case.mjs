// One heartbeat of another writer, whose id holds bytes that can't be read, beside clients on kept connections.
import { setTimeout as sleep } from 'node:timers/promises'
import { findLost, noteTraffic, runCase } from '../case.mjs'
import { KeptClient } from '../client.mjs'
import { Runner } from '../runner.mjs'
import { composeConfig, composeRequests } from '../sites.mjs'

/** More than this many lost requests break the rule. */
const allowed = 3

const hasTrouble = process.env.TROUBLE !== '0'

await runCase(import.meta.url, hasTrouble, async ({ deployment, note }) => {
  await deployment.start()
  note(`configuration 1: ${await deployment.putConfig(composeConfig(1))}`)
  const runners = deployment.registries.map(({ zone }, i) => new Runner({ id: `i-7f3a91c${i}`, service: 'taller-app', ip: `${deployment.network}.${31 + i}`, zone, deployment, workMs: 86, spread: 0.5 }))
  for (const runner of runners) await runner.start()
  await deployment.waitReady()
  const clients = Array.from({ length: 16 }, (_, i) => new KeptClient(deployment, i % 2, composeRequests(i % 3 === 0 ? '/stock/' : '/reserva/')))
  const runs = []
  // Out of step, so that requests are in flight at any moment.
  for (const client of clients) {
    runs.push(client.run())
    await sleep(7)
  }
  // All machines are in touch after contactMs (3 s).
  await sleep(6000)
  if (hasTrouble) {
    // As any heartbeat, but for the id; nobody listens at the address.
    const entry = { ...runners[0].compose(), addr: `${deployment.network}.61:8080`, seq: 4 }
    const { status } = await deployment.call(0, 'PUT', '/api/instances/i-%00%17%C2%85', entry)
    note(`heartbeat of another writer, PUT /api/instances/i-%00%17%C2%85 ${JSON.stringify(entry)}: ${status}`)
  }
  await sleep(6000)
  for (const client of clients) client.stop()
  await Promise.all(runs)
  for (const client of clients) client.close()
  for (const runner of runners) runner.stop()
  noteTraffic(note, clients, runners)
  const lost = findLost(clients, runners)
  const sent = clients.flatMap(({ requests }) => requests)
  const served = sent.filter(({ status }) => status === 200).length
  return {
    isBroken: lost.length > allowed,
    lines: [
      `lost: ${lost.map(({ id }) => id).join(' ')}`,
      `${sent.length} requests, ${served} served; gateways ended by themselves ${deployment.ends.length} times; ${lost.length} requests of kept connections were handed to a sound runner and got no answer, ${allowed} are allowed`
    ]
  }
})
