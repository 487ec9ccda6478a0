/** A gateway gets SIGTERM while the runners of its streams are busy and further streams wait in the gateway. */
import { fileURLToPath } from 'node:url'
import { Operator, call, sleep } from '../calls-2.mjs'
import { CannotRun, Deployment, ports, zones } from '../deployment-2.mjs'
import { hasTrouble, runCase } from '../record-2.mjs'
import { StreamRunner } from '../stream-runner-2.mjs'

const host = 'desk.example'
/** Clients give up a stream after a gap of four times its objective, ms. */
const giveUpMs = 8000
/** Streams of 43 events, one each 200 ms: 8.6 s. */
const tokensOut = 215
const engine = { slots: 2, kvCapacityTokens: 638949, kvTokenBytes: 163840, linkMbps: 180000, moves: false, backups: false, stride: 5, most: 12, pinMs: 4000, holdMs: 2000, handleS: 5, models: [{ name: 'm' }] }
const config = {
  version: 1,
  routes: [{ name: 'r-quote', host, pathPrefix: '/quote/', routeKind: 'streaming', timeoutMs: 15000, sloMs: 2000, priority: 2, service: 'llm', maxAttempts: 1, public: true, sticky: true, resumable: false, itlTargetMs: 500 }],
  services: [{ name: 'llm', healthPath: '/healthz', maxConns: 370, protocol: 'h1', tls: false, engine }],
  limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
}

runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ note, onStop }) => {
  const deployment = await Deployment.create()
  onStop(() => deployment.stop())
  const listCore = () => deployment.list('core').map(({ ip }) => ({ host: ip, port: ports.control }))
  const seeds = zones.map((_, i) => `${deployment.address(1, i + 1)}:${ports.control}`)
  for (const zone of zones) deployment.add('core', zone, { seeds, bootstrap: true })
  for (const zone of zones.slice(0, 2)) deployment.add('edge', zone, { seeds, bootstrap: true })
  deployment.noteUnexpectedEnd = ({ name }, { code, signal }) => note(`${name} ended by itself: ${code} ${signal}`)
  for (const machine of deployment.machines) deployment.start(machine)
  const operator = new Operator(listCore)
  const runners = zones.slice(0, 1).map((zone, i) => new StreamRunner({ id: `i-llm-${i}`, service: 'llm', zone, host: deployment.address(3, 1 + i), list: listCore }))
  for (const runner of runners) await runner.start()
  onStop(() => { for (const runner of runners) runner.close() })
  if ((await operator.put(config))?.status !== 200) throw new CannotRun('the first configuration was not taken')
  await sleep(4000)
  const [edge] = deployment.list('edge')
  let requests = 0
  const ask = async () => {
    requests += 1
    const attempt = `a${String(requests).padStart(6, '0')}`
    const sentAt = Date.now()
    const headers = { host, 'x-attempt-id': attempt, 'x-deadline-ms': '15000', 'x-model': 'm', 'x-token-usage': `6000,${tokensOut}`, 'x-prefix-hash': `5c1e07a2:800,${attempt}:5200` }
    note(`sent ${attempt}`)
    const answer = await call({ host: edge.ip, port: ports.front, method: 'POST', path: `/quote/${requests}`, headers, body: 'draft', gapMs: giveUpMs, timeoutMs: 15000 })
    const runs = runners.flatMap(({ runs }) => runs.filter(one => one.attempt === attempt))
    note(`${attempt}: ${answer.status === 0 ? `no answer, ${answer.error}` : `${answer.status}, ${answer.isWhole ? 'whole' : 'cut short'}`} after ${answer.ms} ms; ran ${runs.length} times, ${runs.map(one => `from ${one.at - sentAt} ms to ${one.endedAt === null ? 'now' : `${one.endedAt - sentAt} ms`}`).join(', ')}`)
    return { attempt, sentAt, answer, runs }
  }
  // The runner has two slots: two streams run, and those that come after SIGTERM wait in the gateway.
  const asked = [ask()]
  await sleep(100)
  asked.push(ask())
  await sleep(500)
  const stoppedAt = Date.now()
  let ended = Promise.resolve()
  if (hasTrouble) {
    note('SIGTERM')
    ended = deployment.end(edge, 'SIGTERM').then(() => note(`the process ended ${Date.now() - stoppedAt} ms after SIGTERM`))
  }
  for (let i = 0; i < 2; i++) {
    await sleep(200)
    asked.push(ask())
  }
  const all = await Promise.all(asked)
  await ended
  for (const line of edge.lines.filter(one => /event=(exchange|refused|gateway-stopped)/.test(one))) note(line.replace(/^.*event=/, '').slice(0, 300))
  const lost = all.filter(({ answer, runs }) => answer.status === 0 && !answer.hasGivenUp && runs.length === 0)
  return lost.length === 0 ? [] : [`LOST: ${lost.length} requests that were read, and that no runner worked on, sent after SIGTERM to a gateway that took them, ended with a closed connection and no answer`]
})
