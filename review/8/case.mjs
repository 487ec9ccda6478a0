/** The machines of the core are replaced one after the other, four times around; then a route is moved to another service. */
import { fileURLToPath } from 'node:url'
import { Operator, call, sleep } from '../calls-2.mjs'
import { CannotRun, Deployment, bounds, ports, zones } from '../deployment-2.mjs'
import { hasTrouble, runCase } from '../record-2.mjs'
import { Runner } from '../runner-2.mjs'

/** Twelve replacements: each of the three machines is replaced four times. */
const replacements = 12
const host = 'desk.example'
const compose = (version, service) => ({
  version,
  routes: [{ name: 'r-stock', host, pathPrefix: '/stock/', routeKind: 'idempotent', timeoutMs: 2000, sloMs: 300, priority: 0, service, maxAttempts: 2, public: true, sticky: false, resumable: false }],
  services: ['one', 'two'].map(name => ({ name, healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false })),
  limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
})

runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ note, onStop }) => {
  const deployment = await Deployment.create()
  onStop(() => deployment.stop())
  const listCore = () => deployment.list('core').map(({ ip }) => ({ host: ip, port: ports.control }))
  const listSeeds = () => listCore().map(one => `${one.host}:${one.port}`)
  const seeds = zones.map((_, i) => `${deployment.address(1, i + 1)}:${ports.control}`)
  for (const zone of zones) deployment.add('core', zone, { seeds, bootstrap: true })
  for (const zone of zones.slice(0, 2)) deployment.add('edge', zone, { seeds, bootstrap: true })
  deployment.noteUnexpectedEnd = ({ name }, { code, signal }) => note(`${name} ended by itself: ${code} ${signal}`)
  for (const machine of deployment.machines) deployment.start(machine)
  const operator = new Operator(listCore)
  const runners = ['one', 'two'].flatMap((service, s) => zones.map((zone, i) => new Runner({ id: `i-${service}-${i}`, service, zone, host: deployment.address(3, 1 + s * 3 + i), list: listCore })))
  for (const runner of runners) await runner.start()
  onStop(() => { for (const runner of runners) runner.close() })

  const first = await operator.put(compose(1, 'one'))
  if (first?.status !== 200) throw new CannotRun('the first configuration was not taken')
  await sleep(3000)
  let requests = 0
  const ask = async edge => {
    requests += 1
    const attempt = `a${String(requests).padStart(6, '0')}`
    const sentAt = Date.now()
    const answer = await call({ host: edge.ip, port: ports.front, path: `/stock/${requests}`, headers: { host, 'x-attempt-id': attempt, 'x-deadline-ms': '4000' }, timeoutMs: 4500 })
    const run = runners.flatMap(({ runs, service }) => runs.filter(one => one.attempt === attempt).map(() => service))
    note(`sent ${attempt} to ${edge.name}: ${answer.status} after ${answer.ms} ms, run by ${run.join(',') || 'nobody'}`)
    return { sentAt, status: answer.status, services: run }
  }
  const edges = deployment.list('edge')
  for (const edge of edges) if ((await ask(edge)).services[0] !== 'one') throw new CannotRun('requests are not served before the disruption')

  const rounds = hasTrouble ? replacements : 0
  for (let i = 0; i < rounds; i++) {
    const [oldest] = deployment.list('core')
    const next = deployment.add('core', oldest.zone, { seeds: listSeeds() })
    deployment.start(next)
    // As planned: the new machine has its time to catch up before the old one gets SIGTERM.
    await sleep(bounds.catchUpS * 1000)
    oldest.isPresent = false
    await deployment.end(oldest, 'SIGTERM')
    // The log goes on without the old machine.
    await sleep(3000)
    note(`${oldest.name} at ${oldest.ip} was replaced by ${next.name} at ${next.ip}`)
  }
  await sleep(bounds.contactMs)
  for (const edge of edges) await ask(edge)
  for (const edge of edges) note(`${edge.name}: ${edge.lines.filter(line => /event=registry-(met|lost)/.test(line)).slice(-3).map(line => line.replace(/^.*event=/, '')).join(' | ')}`)

  const change = await operator.put(compose(2, 'two'))
  const ackedAt = Date.now()
  note(`version 2, which moves the route from service one to service two, was acknowledged with ${change?.status}`)
  if (change?.status !== 200) return ['no acknowledgement of a valid configuration']
  await sleep(bounds.configApplyMs + 500)
  const late = []
  for (let i = 0; i < 10; i++) {
    for (const edge of edges) late.push({ edge: edge.name, ...await ask(edge) })
    await sleep(200)
  }
  note(`the configuration read back has version ${(await operator.read())?.version}`)
  const stale = late.filter(({ services }) => services.includes('one'))
  return stale.length === 0 ? [] : [`CONFIG: ${stale.length} of ${late.length} requests, sent ${stale[0].sentAt - ackedAt} ms and more after the acknowledgement of version 2, were run by service one, which only version 1 allows`]
})
