// One of three runners spoils each 50th of its answers: the status of the answer becomes 000, all else stays.
import { setTimeout as sleep } from 'node:timers/promises'
import { findLost, noteTraffic, runCase } from '../case.mjs'
import { KeptClient } from '../client.mjs'
import { Runner } from '../runner.mjs'
import { composeConfig, composeRequests } from '../sites.mjs'

/** More than this many lost requests break the rule. */
const allowed = 3
/** One answer of so many is spoiled: x = .02 of `garble`. */
const spoilEvery = 50

const hasTrouble = process.env.TROUBLE !== '0'

await runCase(import.meta.url, hasTrouble, async ({ deployment, note }) => {
  await deployment.start()
  note(`configuration 1: ${await deployment.putConfig(composeConfig(1))}`)
  const runners = deployment.registries.map(({ zone }, i) => new Runner({ id: `i-7f3a91c${i}`, service: 'taller-app', ip: `${deployment.network}.${31 + i}`, zone, deployment, workMs: 86 }))
  const [faulty, ...sound] = runners
  let isFaulty = false
  let answers = 0
  faulty.serve = (request, response, run) => setTimeout(() => {
    answers += isFaulty ? 1 : 0
    if (!isFaulty || answers % spoilEvery !== 0) return faulty.answer(response, run)
    note(`runner ${faulty.id} spoils its answer to ${run.id}: status 000`)
    run.isDone = true
    const head = Object.entries(faulty.head(run, { 'Content-Type': 'text/plain', 'Content-Length': 3 })).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    request.socket.end(`HTTP/1.1 000 OK\r\n${head}\r\nran`)
  }, 86)
  for (const runner of runners) await runner.start()
  await deployment.waitReady()
  const clients = Array.from({ length: 14 }, (_, i) => new KeptClient(deployment, i % 2, composeRequests(i % 3 === 0 ? '/stock/' : '/reserva/')))
  const runs = clients.map(client => client.run())
  // All machines are in touch after contactMs (3 s).
  await sleep(6000)
  isFaulty = hasTrouble
  await sleep(10_000)
  isFaulty = false
  await sleep(3000)
  for (const client of clients) client.stop()
  await Promise.all(runs)
  for (const client of clients) client.close()
  for (const runner of runners) runner.stop()
  noteTraffic(note, clients, runners)
  // Only those at the runners that spoil nothing.
  const lost = findLost(clients, sound)
  const sent = clients.flatMap(({ requests }) => requests)
  const served = sent.filter(({ status }) => status === 200).length
  return {
    isBroken: lost.length > allowed,
    lines: [
      `lost: ${lost.map(({ id }) => id).join(' ')}`,
      `${sent.length} requests, ${served} served; ${Math.floor(answers / spoilEvery)} answers spoiled; gateways ended by themselves ${deployment.ends.length} times; ${lost.length} requests of kept connections were handed to a sound runner and got no answer, ${allowed} are allowed`
    ]
  }
})
