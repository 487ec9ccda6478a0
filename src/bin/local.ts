#!/usr/bin/env node
/** `wrenlane-local`: a complete deployment in one process, with stand-in engines and services. */
import { mkdirSync, mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import sade from 'sade'
import type { EntrySettings, KeeperSettings, StandinEngineSettings } from '../config/index.js'
import { ClientIntake, EventLog, Metrics } from '../runtime/index.js'
import { computeBudgetBytes } from '../core/index.js'
import { StandinEngine, StandinService } from '../standin/index.js'
import { EntryBox, KeeperBox } from '../tasks/index.js'
import { startRoutes } from './local-routes.js'
import { OperatorClient } from './operator-client.js'
import { exitWithError, failureExitCode, handleSignals, readUserFile, readVersion, runProgram, usageExitCode } from './program.js'

interface Options {
  readonly port: string | number
  readonly data?: string
  readonly config: string
  readonly quiet?: boolean
}

const host = '127.0.0.1'
const zones = ['zone-a', 'zone-b']
const keeperIds = ['keeper-1', 'keeper-2', 'keeper-3']
const engineCount = 6
const secret = 'a secret of this laptop only'
const sampleConfig = fileURLToPath(new URL('../../../config/local.toml', import.meta.url))
const demoKeys = 'demo-campsites, demo-tyres'
const readyTimeoutMs = 15_000

sade('wrenlane-local', true)
  .version(readVersion())
  .describe('Runs two entry boxes, three keepers, six stand-in engines and a plain service in one process.')
  .option('-p, --port', 'Port of the first entry box; others follow it', 8080)
  .option('-d, --data', 'Data folder of the keepers; a new temporary folder by default')
  .option('-c, --config', 'TOML file with workspaces, classes and the engine pool', sampleConfig)
  .option('--quiet', 'Print only the ready line, no event logs')
  .action((options: Options) => runProgram(() => start(options)))
  .parse(process.argv)

async function start (options: Options): Promise<void> {
  const port = Number(options.port)
  if (!Number.isInteger(port) || port < 1 || port > 65_000) exitWithError(usageExitCode, `--port must be an integer from 1 to 65000, got ${String(options.port)}`)
  const intent = readUserFile(options.config)
  const data = options.data ?? mkdtempSync(join(tmpdir(), 'wrenlane-'))
  mkdirSync(data, { recursive: true })
  const writeLine = (line: string): void => { if (options.quiet !== true) process.stdout.write(line + '\n') }
  const log = new EventLog('local', line => process.stdout.write(line + '\n'))
  const intake = new ClientIntake(computeBudgetBytes(null, null), { log: new EventLog('local', writeLine), metrics: new Metrics(null, 'local') })
  const keepers = keeperIds.map((id, i) => ({ id, host, port: port + 11 + i }))
  const entries = await startEntries(port, keepers, data, intake, writeLine)
  const keeperBoxes = await startKeepers(keepers, data, intake, writeLine)
  const engines = await startEngines(port, intake)
  const bookings = new StandinService({ id: 'bookings', host, port: port + 41, delayMs: 5 }, intake)
  await bookings.listen()
  await configure(keepers, intent, composeEndpointIntent(port))
  await waitReady(entries)
  const routes = await startRoutes(port + 50, data, intake, writeLine)
  const settings = writeOperatorSettings(keepers, data)
  log.info('ready', { url: `http://${host}:${port}`, second: `http://${host}:${port + 1}`, keys: demoKeys, data, operator: settings, routes: routes.url, registry: routes.registry })
  handleSignals(async () => {
    const cutRequests = await Promise.all([...entries.map(entry => entry.stop()), routes.stop()])
    await Promise.all(keeperBoxes.map(box => box.stop()))
    for (const server of [...engines, bookings]) server.close()
    return cutRequests.every(count => count === 0) ? 0 : 1
  }, () => entries.reduce((sum, entry) => sum + entry.inFlight, 0))
}

async function startEntries (port: number, keepers: KeeperSettings['keepers'], data: string, intake: ClientIntake, writeLine: (line: string) => void): Promise<EntryBox[]> {
  const members = zones.map((_, i) => ({ host, port: port + 21 + i }))
  const boxes: EntryBox[] = []
  for (const [i, zone] of zones.entries()) {
    const settings: EntrySettings = {
      id: `entry-${i + 1}`,
      zone,
      listen: { host, port: port + i },
      control: members[i],
      keepers,
      members,
      secretFile: '',
      statsd: null,
      cacheFile: join(data, `entry-${i + 1}.json`),
      balancerLagMs: 200,
      drainMs: 60_000,
      maxConnections: 4096,
      maxBodyBytes: 4 * 2 ** 20,
      memoryMb: null,
      receiveMs: 10_000,
      enginesPerShard: 32
    }
    const box = new EntryBox(settings, { log: new EventLog(settings.id, writeLine), metrics: new Metrics(null, settings.id), intake, secret })
    await box.start()
    boxes.push(box)
  }
  return boxes
}

async function startKeepers (keepers: KeeperSettings['keepers'], data: string, intake: ClientIntake, writeLine: (line: string) => void): Promise<KeeperBox[]> {
  const boxes = keepers.map(({ id, port }, i) => {
    const settings: KeeperSettings = {
      id,
      zone: zones[i % zones.length],
      control: { host, port },
      keepers,
      secretFile: '',
      statsd: null,
      data: join(data, id),
      snapshotEvery: 20_000,
      heartbeatMs: 100,
      electionMs: 600
    }
    const noteFatal = (error: Error): void => exitWithError(failureExitCode, `disk failure: ${error.message}`)
    return new KeeperBox(settings, { log: new EventLog(id, writeLine), metrics: new Metrics(null, id), intake, secret, noteFatal })
  })
  for (const box of boxes) await box.start()
  return boxes
}

async function startEngines (port: number, intake: ClientIntake): Promise<StandinEngine[]> {
  const engines: StandinEngine[] = []
  for (let i = 0; i < engineCount; i++) {
    const settings: StandinEngineSettings = {
      id: `engine-${i + 1}`,
      host,
      port: port + 31 + i,
      models: ['steppe-small'],
      batch: 9,
      baseMs: 8,
      streamMs: 1,
      prefillMs: 40,
      kvTokens: 60_000,
      reportLagMs: 500,
      checksFencing: i % 2 === 0
    }
    const engine = new StandinEngine(settings, intake)
    await engine.listen()
    engines.push(engine)
  }
  return engines
}

// Engines and services are configured separately from the file, as their ports depend on --port.
function composeEndpointIntent (port: number): string {
  const lines: string[] = []
  for (let i = 0; i < engineCount; i++) {
    lines.push(`[engines.engine-${i + 1}]`, 'pool = "steppe"', `zone = "${zones[i % zones.length]}"`, `host = "${host}"`, `port = ${port + 31 + i}`, `checksFencing = ${i % 2 === 0}`, '')
  }
  lines.push('[services.bookings]', `endpoints = [{ host = "${host}", port = ${port + 41}, zone = "${zones[0]}" }]`, 'repeatable = false', 'repeatablePaths = ["/stock"]', '')
  return lines.join('\n')
}

async function configure (keepers: KeeperSettings['keepers'], intent: string, endpoints: string): Promise<void> {
  const client = new OperatorClient('local', keepers, secret)
  for (const text of [intent, endpoints]) {
    const reply = await client.call({ type: 'plan', id: client.createCommandId(text), intent: text })
    if (reply.type === 'mistakes') exitWithError(usageExitCode, reply.mistakes.join('\n'))
    if (reply.type !== 'result' || reply.result.type !== 'planned') exitWithError(failureExitCode, `planning the configuration failed: ${JSON.stringify(reply)}`)
    const { plan, changes } = reply.result
    if (changes.length === 0) continue
    const id = client.createCommandId(`confirm ${plan}`)
    const confirmReply = await client.call({ type: 'command', command: { part: 'config', command: { type: 'confirm', id, plan } } })
    if (confirmReply.type !== 'result' || confirmReply.result.type !== 'accepted') exitWithError(failureExitCode, `confirming the configuration failed: ${JSON.stringify(confirmReply)}`)
  }
  client.close()
}

// Writes the settings file for `wrenlane status --settings FILE` and other operator commands.
function writeOperatorSettings (keepers: KeeperSettings['keepers'], data: string): string {
  const path = join(data, 'wrenlane.toml')
  const secretFile = join(data, 'secret')
  const list = keepers.map(({ id, port }) => `  { id = "${id}", host = "${host}", port = ${port} }`)
  writeFileSync(secretFile, `${secret}\n`, { mode: 0o600 })
  writeFileSync(path, `keepers = [\n${list.join(',\n')}\n]\nsecretFile = ${JSON.stringify(secretFile)}\n`)
  return path
}

async function waitReady (entries: readonly EntryBox[]): Promise<void> {
  const deadline = Date.now() + readyTimeoutMs
  while (!entries.every(entry => entry.composeStatus().ready && entry.configuration.engines.size > 0)) {
    if (Date.now() > deadline) exitWithError(failureExitCode, 'timeout: the entry boxes did not become ready')
    await new Promise(resolve => setTimeout(resolve, 20))
  }
}
