/** Two machines of the core, each with a successor that has caught up, are taken away as planned, one after the other. */
import { fileURLToPath } from 'node:url'
import { Operator, call, sleep } from '../calls-2.mjs'
import { CannotRun, Deployment, bounds, ports, zones } from '../deployment-2.mjs'
import { hasTrouble, runCase } from '../record-2.mjs'

/** From the end of the first machine to the SIGTERM of the second, ms: the pause between machines that are stopped in turn. */
const pauseMs = 1000
const config = version => ({
  version,
  routes: [{ name: 'r-stock', host: 'desk.example', pathPrefix: '/stock/', routeKind: 'idempotent', timeoutMs: 2000, sloMs: 300, priority: 0, service: 'one', maxAttempts: 2, public: true, sticky: false, resumable: false }],
  services: [{ name: 'one', healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false }],
  limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
})

runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ note, onStop }) => {
  const deployment = await Deployment.create()
  onStop(() => deployment.stop())
  const listCore = () => deployment.list('core').map(({ ip }) => ({ host: ip, port: ports.control }))
  const listSeeds = () => listCore().slice(0, 3).map(one => `${one.host}:${one.port}`)
  const seeds = zones.map((_, i) => `${deployment.address(1, i + 1)}:${ports.control}`)
  const old = zones.map(zone => deployment.add('core', zone, { seeds, bootstrap: true }))
  deployment.add('edge', zones[0], { seeds, bootstrap: true })
  deployment.noteUnexpectedEnd = ({ name }, { code, signal }) => note(`${name} ended by itself: ${code} ${signal}`)
  for (const machine of deployment.machines) deployment.start(machine)
  const operator = new Operator(listCore)
  if ((await operator.put(config(1)))?.status !== 200) throw new CannotRun('the first configuration was not taken')
  await sleep(3000)

  // A new machine counts as lost until it has had its time: the second one is added after that.
  for (const { zone } of old.slice(0, 2)) {
    const successor = deployment.add('core', zone, { seeds: listSeeds() })
    deployment.start(successor)
    note(`${successor.name} was added in ${zone}`)
    await sleep(bounds.catchUpS * 1000 + 1000)
  }
  const change = await operator.put(config(2))
  note(`version 2 was acknowledged with ${change?.status}`)
  if (change?.status !== 200) throw new CannotRun('version 2 was not acknowledged before the disruption')
  await sleep(bounds.contactMs)

  for (const machine of hasTrouble ? old.slice(0, 2) : []) {
    machine.isPresent = false
    note(`SIGTERM to ${machine.name}`)
    await deployment.end(machine, 'SIGTERM')
    note(`${machine.name} has ended and is taken away for good`)
    await sleep(pauseMs)
  }
  const endedAt = Date.now()
  // All that remain run, and reach one another: within `recoverS` they have to be back.
  await sleep(bounds.recoverS * 1000)
  note(`machines of the core that run: ${deployment.list('core').filter(({ child }) => child !== null).map(({ name }) => name).join(', ')}`)
  const found = await operator.read(15_000)
  note(`read for 15 s, from ${bounds.recoverS} s after the last machine was taken away: ${found === null ? 'no answer but 503' : `version ${found.version}`}`)
  for (const { host, port } of listCore()) note(`GET /api/config at ${host}: ${(await call({ host, port, path: '/api/config', timeoutMs: 2000 })).status}`)
  const next = await operator.put(config(3), 15_000)
  note(`version 3, sent for 15 s: ${next === null ? 'no acknowledgement' : next.status}`)
  for (const machine of deployment.list('core')) note(`${machine.name}: ${machine.lines.filter(line => /event=(members|role)/.test(line)).slice(-2).map(line => line.replace(/^.*event=/, '')).join(' | ')}`)
  const breaks = []
  if (found === null || found.version < 2) breaks.push(`CONFIG: version 2, which was acknowledged, can't be read back ${Math.round((Date.now() - endedAt) / 1000)} s after the last disruption`)
  if (next?.status !== 200) breaks.push('CONFIG: a valid configuration was not acknowledged')
  return breaks
})
