#!/usr/bin/env node
/** `wrenlane`: the command-line tool for operators. */
import { createHash, randomBytes } from 'node:crypto'
import { userInfo } from 'node:os'
import sade from 'sade'
import { checkDocument, describeHost, describeName, describePort, describeText, entryFields, gatewayFields, registryFields, findKeyLines, findLine, formatMistake, intentFields, keeperFields, parseAddress, parseToml, standinFields } from '../config/index.js'
import type { FieldTable, KeeperAddress, Mistake } from '../config/index.js'
import { parse } from 'smol-toml'
import { brandId } from '../core/index.js'
import type { EngineId } from '../core/index.js'
import type { Change, Document, LedgerResult } from '../coordination/index.js'
import type { KeeperReply, KeeperStatus } from '../protocol/index.js'
import { OperatorClient, OperatorError } from './operator-client.js'
import { exitWithError, failureExitCode, readUserFile, readSecret, readSettings, readVersion, usageExitCode } from './program.js'
import { countLosses, formatLosses } from './losses.js'
import { formatLostPaths, formatNotices, readLostPaths, readNotices } from './notice-report.js'
import { composeReport, formatReport } from './status-report.js'
import { explainRequest, mergeEvents } from './timeline.js'

interface Options {
  readonly settings: string
  readonly json?: boolean
  readonly file?: string
  readonly number?: string
  readonly request?: string
  readonly seconds?: number
  readonly undo?: boolean
  readonly registry?: string
}

interface OperatorSettings {
  readonly operator: string
  readonly keepers: readonly KeeperAddress[]
  readonly secretFile: string
}

const operatorFields: FieldTable = {
  operator: describeName('Name of the operator; if omitted, the login name of the user.', 'operator'),
  keepers: {
    type: 'list',
    minItems: 1,
    about: 'Addresses of the keepers.',
    of: { type: 'table', about: 'A keeper.', fields: { id: describeName('Name of the keeper.'), host: describeHost('IP address.'), port: describePort('Port.') } }
  },
  secretFile: describeText('File with the secret that boxes and operators share.')
}

const settingsKinds: readonly { readonly name: string, readonly distinctiveKey: string, readonly fields: FieldTable }[] = [
  { name: 'gateway', distinctiveKey: 'ready', fields: gatewayFields },
  { name: 'registry', distinctiveKey: 'linkPort', fields: registryFields },
  { name: 'entry', distinctiveKey: 'listen', fields: entryFields },
  { name: 'keeper', distinctiveKey: 'data', fields: keeperFields },
  { name: 'operator', distinctiveKey: 'keepers', fields: operatorFields }
]

const program = sade('wrenlane').version(readVersion())
  .option('-s, --settings', 'TOML file with the addresses of the keepers and the path of the secret', 'wrenlane.toml')
  .option('--json', 'Print JSON')

program.command('check <file>', 'Validate a settings file or an intent (the desired configuration); prints every error')
  .action((path: string) => checkFile(path))

program.command('plan', 'Plan the changes that an intent (the desired configuration) requires')
  .option('-f, --file', 'TOML file with the intent')
  .option('--number', 'Number of this command, to resend it safely')
  .action((options: Options) => runWithClient(options, client => plan(client, options)))

program.command('confirm <plan>', 'Apply a plan')
  .option('--number', 'Number of this command, to resend it safely')
  .action((number: string, options: Options) => runWithClient(options, client => confirm(client, number, options)))

program.command('status', 'Show boxes, zones, revisions in force, engines and queues')
  .option('--registry', 'HOST:PORT of a registry: show what its endpoints announce (rate limits, brittleness, back-off, shutdown) and gateways that have lost paths to endpoints instead')
  .action((options: Options) => options.registry === undefined ? runWithClient(options, client => showStatus(client, options)) : showNotices(options.registry, options))

program.command('drain <engine>', 'Stop sending new requests to an engine; plans and confirms the change immediately')
  .option('--undo', 'Send it requests again')
  .action((engine: string, options: Options) => runWithClient(options, client => drain(client, engine, options)))

program.command('repair <keeper>', 'Replace the replica of a keeper whose disk was lost or exchanged')
  .action((keeper: string, options: Options) => runWithClient(options, client => repair(client, keeper, options)))

program.command('timeline <file>', 'Merge event logs in the order of time')
  .option('--request', 'Show one request and the routing changes that may explain its outcome')
  .action((path: string, options: Options & { _: string[] }) => showTimeline([path, ...options._], options))

program.command('losses <file>', 'Count missed service levels by route, time and reason, from logs of gateways')
  .option('--seconds', 'Length of an interval', 5)
  .action((path: string, options: Options & { _: string[] }) => showLosses([path, ...options._], options))

program.command('key', 'Generate a workspace key and its digest')
  .action((options: Options) => generateKey(options))

program.parse(process.argv)

function print (options: Options, value: unknown, text: string): void {
  process.stdout.write(`${options.json === true ? JSON.stringify(value) : text}\n`)
}

async function runWithClient (options: Options, run: (client: OperatorClient) => Promise<void>): Promise<void> {
  const settings = readSettings<OperatorSettings>(options.settings, operatorFields)
  const operator = settings.operator === 'operator' ? userInfo().username : settings.operator
  const client = new OperatorClient(operator, settings.keepers, readSecret(settings.secretFile))
  try {
    await run(client)
    client.close()
  } catch (error) {
    if (!(error instanceof OperatorError)) throw error
    exitWithError(failureExitCode, error.message)
  }
}

function checkFile (path: string): void {
  const text = readUserFile(path)
  const fields = detectFields(text)
  const parsed = parseToml(text, fields)
  const mistakes = parsed.ok ? checkIntent(text, parsed.value, fields) : parsed.mistakes
  for (const mistake of mistakes) process.stdout.write(`${formatMistake(path, mistake)}\n`)
  if (mistakes.length > 0) exitWithError(usageExitCode, `${path}: ${mistakes.length} error${mistakes.length === 1 ? '' : 's'}`)
  process.stdout.write(`${path}: no errors\n`)
}

function detectFields (text: string): FieldTable {
  let table: Record<string, unknown> = {}
  try {
    table = parse(text)
  } catch {
    return intentFields
  }
  for (const { distinctiveKey, fields } of settingsKinds) {
    if (Object.hasOwn(table, distinctiveKey)) return fields
  }
  return Array.isArray(table.engines) || Array.isArray(table.services) ? standinFields : intentFields
}

function checkIntent (text: string, value: Readonly<Record<string, unknown>>, fields: FieldTable): readonly Mistake[] {
  if (fields !== intentFields) return []
  const { remove: _, ...document } = value
  const lines = findKeyLines(text)
  return checkDocument(document as Document).map(mistake => ({ ...mistake, line: findLine(lines, mistake.key) }))
}

async function plan (client: OperatorClient, options: Options): Promise<void> {
  if (options.file === undefined) exitWithError(usageExitCode, 'plan requires -f FILE, a TOML file with the intent')
  const intent = readUserFile(options.file)
  const reply = await client.call({ type: 'plan', id: client.createCommandId(intent, options.number), intent })
  const result = expectResult(reply)
  if (result.type !== 'planned') return exitWithResult(options, result)
  const text = result.changes.length === 0
    ? 'no changes'
    : `${result.changes.map(formatChange).join('\n')}\nplan ${result.plan} based on revision ${result.base}; apply it with: wrenlane confirm ${result.plan}`
  print(options, result, text)
}

function formatChange (change: Change): string {
  const name = `${change.section}.${change.name}`
  if (change.before === null) return `added    ${name}  ${JSON.stringify(change.after)}`
  if (change.after === null) return `removed  ${name}  was ${JSON.stringify(change.before)}`
  const before = change.before as Record<string, unknown>
  const after = change.after as Record<string, unknown>
  const keys = Object.keys({ ...before, ...after }).filter(key => JSON.stringify(before[key]) !== JSON.stringify(after[key]))
  return `changed  ${name}  ${keys.map(key => `${key}: ${JSON.stringify(before[key])} -> ${JSON.stringify(after[key])}`).join(', ')}`
}

async function confirm (client: OperatorClient, planNumber: string, options: Options): Promise<void> {
  if (!/^\d+$/.test(planNumber)) exitWithError(usageExitCode, `a plan number must be an integer, got ${JSON.stringify(planNumber)}`)
  const id = client.createCommandId(`confirm ${planNumber}`, options.number)
  const reply = await client.call({ type: 'command', command: { part: 'config', command: { type: 'confirm', id, plan: Number(planNumber) } } })
  const result = expectResult(reply)
  if (result.type !== 'accepted') return exitWithResult(options, result)
  print(options, result, `accepted as revision ${result.revision}; run wrenlane status to see whether it is in force on all boxes`)
}

function expectResult (reply: KeeperReply): LedgerResult {
  switch (reply.type) {
    case 'result': return reply.result as LedgerResult
    case 'mistakes':
      for (const mistake of reply.mistakes) process.stderr.write(`${mistake}\n`)
      return exitWithError(usageExitCode, `${reply.mistakes.length} errors in the intent`)
    case 'fault': return exitWithError(failureExitCode, reply.text)
    default: return exitWithError(failureExitCode, `unexpected reply of type ${reply.type}`)
  }
}

function exitWithResult (options: Options, result: LedgerResult): void {
  if (options.json === true) process.stdout.write(`${JSON.stringify(result)}\n`)
  exitWithError(failureExitCode, describeResult(result))
}

function describeResult (result: LedgerResult): string {
  switch (result.type) {
    case 'conflict': return `the plan is based on revision ${result.base}, but the current revision is ${result.revision}; changes since then:\n${result.since.map(formatChange).join('\n')}\ncreate a new plan`
    case 'unknown-plan': return `unknown plan ${result.plan}`
    case 'already-confirmed': return `plan ${result.plan} is already confirmed, as revision ${result.revision}`
    case 'other-command': return 'this command number was already used for a different command'
    default: return result.type
  }
}

async function showStatus (client: OperatorClient, options: Options): Promise<void> {
  const statuses = await Promise.all(client.keepers.map(async keeper => {
    const reply = await client.callKeeper(keeper, { type: 'status' })
    return reply?.type === 'status' ? reply.status : null
  }))
  if (statuses.every(status => status === null)) throw new OperatorError('no keeper is reachable')
  const report = composeReport(client.keepers.map(keeper => keeper.id), statuses as (KeeperStatus | null)[])
  print(options, report, formatReport(report))
}

async function showNotices (registry: string, options: Options): Promise<void> {
  const address = parseAddress(registry)
  if (address.host === '' || !(address.port > 0)) return exitWithError(usageExitCode, '--registry must be HOST:PORT of a registry')
  try {
    const [notices, lostPaths] = await Promise.all([readNotices(address), readLostPaths(address)])
    print(options, { notices, lostPaths }, `${formatNotices(notices)}\n${formatLostPaths(lostPaths)}`)
  } catch (error) {
    if (!(error instanceof OperatorError)) throw error
    exitWithError(failureExitCode, error.message)
  }
}

async function drain (client: OperatorClient, engine: string, options: Options): Promise<void> {
  const reply = await client.call({ type: 'document' })
  if (reply.type !== 'document') return exitWithError(failureExitCode, `unexpected reply of type ${reply.type}`)
  const current = reply.document.engines?.[brandId<EngineId>(engine)] as Record<string, unknown> | undefined
  if (current === undefined) return exitWithError(usageExitCode, `engine ${JSON.stringify(engine)} is not configured`)
  const leaving = options.undo !== true
  const change: Change = { section: 'engines', name: engine, before: current, after: { ...current, leaving } }
  const planId = client.createCommandId(`drain ${engine} ${leaving} ${reply.revision}`)
  const planned = expectResult(await client.call({ type: 'command', command: { part: 'config', command: { type: 'plan', id: planId, base: reply.revision, changes: [change] } } }))
  if (planned.type !== 'planned') return exitWithResult(options, planned)
  await confirm(client, String(planned.plan), options)
}

async function repair (client: OperatorClient, keeper: string, options: Options): Promise<void> {
  const reply = await client.call({ type: 'repair', replace: keeper, id: client.createCommandId(`repair ${keeper}`) })
  if (reply.type !== 'repaired') return exitWithError(failureExitCode, reply.type === 'fault' ? reply.text : `unexpected reply of type ${reply.type}`)
  print(options, reply.members, `repaired; the voters are ${reply.members.voters.join(', ')}`)
}

function showTimeline (paths: readonly string[], options: Options): void {
  const texts = paths.map(readUserFile)
  const events = options.request === undefined ? mergeEvents(texts, null) : explainRequest(texts, options.request)
  for (const event of events) {
    process.stdout.write(`${options.json === true ? JSON.stringify(Object.fromEntries(event.fields)) : event.line}\n`)
  }
}

function showLosses (paths: readonly string[], options: Options): void {
  const intervalS = Number(options.seconds)
  if (!(intervalS > 0)) return exitWithError(usageExitCode, '--seconds must be a number above 0')
  const rows = countLosses(paths.map(readUserFile), intervalS)
  print(options, rows, formatLosses(rows))
}

function generateKey (options: Options): void {
  const key = `wl-${randomBytes(24).toString('base64url')}`
  const digest = createHash('sha256').update(key).digest('hex')
  print(options, { key, digest }, `key     ${key}\ndigest  ${digest}`)
}
