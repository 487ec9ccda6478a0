#!/usr/bin/env node
/** `npm run soak`: runs randomised histories for a given time and checks every invariant. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'
import sade from 'sade'
import { RaftHistory, SchedulerHistory } from '../proof/index.js'
import { SoakHistory } from '../soak/index.js'
import { exitWithError, failureExitCode, readVersion, usageExitCode } from './program.js'

interface Options {
  readonly part: string
  readonly seconds: string | number
  readonly seed: string | number
  readonly steps: string | number
  readonly gateways: string | number
  readonly registries: string | number
  readonly engines: string | number
  readonly endpoints: string | number
  readonly crashers: string | number
  readonly notices?: boolean
  readonly contention?: boolean
  readonly paths?: boolean
  readonly silences?: boolean
  readonly stops?: boolean
  readonly versions: string | number
  readonly parts: string | number
}

/** Result of a history: the violated invariants. */
interface HistoryResult {
  readonly violations: readonly string[]
}

/** For each part, a function that runs one history with the given seed. */
const parts: Readonly<Record<string, (seed: number, options: Options) => HistoryResult | Promise<HistoryResult>>> = {
  coordination: (seed, { steps }) => new RaftHistory(seed, seed % 3 === 0 ? 5 : 3).run(Number(steps)),
  decisions: (seed, { steps }) => new SchedulerHistory(seed, 1 + seed % 6).run(Number(steps)),
  processes: runProcesses
}
/** Parts included in `all`. `processes` must be named explicitly, as it needs many ports and more memory. */
const defaultParts = ['coordination', 'decisions']
/** Duration of one step in histories of `processes`, ms. */
const stepMs = 100

sade('soak', true)
  .version(readVersion())
  .describe('Runs randomised histories and checks every invariant. To replay a failing seed, use --seconds 0.')
  .option('--part', `One of ${Object.keys(parts).join(', ')}, or all (${defaultParts.join(' and ')})`, 'all')
  .option('--seconds', 'Duration; 0 runs only the first seed', 10)
  .option('--seed', 'First seed', 1)
  .option('--steps', 'Random steps per history; with processes, tenths of a second', 1500)
  .option('--gateways', 'Number of gateways, with processes', 3)
  .option('--registries', 'Number of registries, with processes', 3)
  .option('--engines', 'Number of engines, with processes; they get bursts of requests with different priorities; 0 for none', 0)
  .option('--endpoints', 'Number of endpoints of a plain service, with processes', 4)
  .option('--crashers', 'Number of requests that crash every endpoint which runs them and are sent repeatedly, with processes; 0 for none', 0)
  .option('--notices', 'Endpoints announce rate limits, back-off and shutdown in response headers, with processes')
  .option('--contention', 'Workspaces compete for too few slots and callers read slowly, at gateways with settings for that, with processes')
  .option('--paths', 'Gateways lose their paths to all endpoints, beside fewer other faults, with processes; not with --crashers')
  .option('--silences', 'Endpoints fall silent and go on, beside fewer other faults that end answers, with processes; not with --crashers or --paths')
  .option('--stops', 'Gateways stop one after another while long streams become slower, beside fewer other faults, with processes')
  .option('--versions', 'Number of software versions of the endpoints, which crash one after the other while callers take up their streams, with processes; 0 for none', 0)
  .option('--parts', 'Number of harmful parts of prompts, which crash endpoints under requests of which no two are alike, with processes; 0 for none', 0)
  .action((options: Options) => run(options))
  .parse(process.argv)

// Exits with an error if the options are invalid.
async function run (options: Options): Promise<void> {
  const [seconds, firstSeed, steps] = [options.seconds, options.seed, options.steps].map(Number)
  if (!(seconds >= 0) || !Number.isInteger(firstSeed) || !(steps > 0)) exitWithError(usageExitCode, '--seconds must be at least 0, --seed an integer and --steps above 0')
  if (![options.gateways, options.registries, options.endpoints].every(count => Number.isInteger(Number(count)) && Number(count) > 0)) exitWithError(usageExitCode, '--gateways, --registries and --endpoints must be integers of at least 1')
  if (![options.engines, options.crashers, options.versions, options.parts].every(count => Number.isInteger(Number(count)) && Number(count) >= 0)) exitWithError(usageExitCode, '--engines, --crashers, --versions and --parts must be integers of at least 0')
  if (options.paths === true && Number(options.crashers) > 0) exitWithError(usageExitCode, '--paths and --crashers exclude each other')
  if (options.silences === true && (Number(options.crashers) > 0 || options.paths === true)) exitWithError(usageExitCode, '--silences excludes --crashers and --paths')
  const names = options.part === 'all' ? defaultParts : [options.part]
  for (const name of names) {
    if (!Object.hasOwn(parts, name)) exitWithError(usageExitCode, `--part: unknown part ${JSON.stringify(name)}; expected ${Object.keys(parts).join(', ')}, all`)
  }
  for (const name of names) await runPart(name, seconds / names.length, firstSeed, options)
}

// Runs histories of one part with consecutive seeds until the time is over; exits at the first violation.
async function runPart (name: string, seconds: number, firstSeed: number, options: Options): Promise<void> {
  const deadline = performance.now() + seconds * 1000
  let seed = firstSeed
  do {
    const { violations } = await parts[name](seed, options)
    if (violations.length > 0) {
      process.stdout.write(`part=${name} seed=${seed} steps=${options.steps} violations=${JSON.stringify(violations)}\n`)
      exitWithError(failureExitCode, `replay with: npm run soak -- --part ${name} --seed ${seed} --steps ${options.steps} --gateways ${options.gateways} --registries ${options.registries} --engines ${options.engines} --endpoints ${options.endpoints} --crashers ${options.crashers} --versions ${options.versions} --parts ${options.parts}${options.notices === true ? ' --notices' : ''}${options.contention === true ? ' --contention' : ''}${options.paths === true ? ' --paths' : ''}${options.silences === true ? ' --silences' : ''}${options.stops === true ? ' --stops' : ''} --seconds 0`)
    }
    seed += 1
  } while (performance.now() < deadline)
  process.stdout.write(`part=${name} seeds=${firstSeed}..${seed - 1} histories=${seed - firstSeed} steps=${options.steps} violations=0\n`)
}

async function runProcesses (seed: number, options: Options): Promise<HistoryResult> {
  const deployment = { gateways: Number(options.gateways), registries: Number(options.registries), endpoints: Number(options.endpoints), engines: Number(options.engines), crashers: Number(options.crashers), notices: options.notices === true, contention: options.contention === true, paths: options.paths === true, silences: options.silences === true, stops: options.stops === true, versions: Number(options.versions), harmfulParts: Number(options.parts) }
  const history = new SoakHistory(seed, Number(options.steps) * stepMs, deployment)
  // A signal stops the child processes before the soak exits.
  const stopAndExit = (): void => { void history.stop().then(() => process.exit(failureExitCode)) }
  process.once('SIGTERM', stopAndExit).once('SIGINT', stopAndExit)
  const { violations, calls, served, faults, cutOff, silences, ranked, crashes, versions, stops, parts: harmful, contention, logs } = await history.run()
  process.off('SIGTERM', stopAndExit).off('SIGINT', stopAndExit)
  process.stdout.write(`seed=${seed} calls=${calls} served=${served} faults=${faults} ${ranked.map(({ kind, sent: asked, served, inTime }) => `${kind}=${inTime}/${served}/${asked} `).join('')}${crashes === null ? '' : `ended=${crashes.crashCounts.join('/')} harmless=${crashes.served}/${crashes.sent} back=${crashes.recoveryMs.map(Math.round).join('/')} `}${versions === null ? '' : `streams=${versions.streams} takenup=${versions.wentOn}/${versions.takenUp} new=${versions.begun}/${versions.sent} `}${harmful === null ? '' : `partcrashes=${harmful.crashes.join('/')} late=${harmful.lateSends.join('/')} sound=${harmful.served[0]}/${harmful.sent[0]},${harmful.served[1]}/${harmful.sent[1]} `}${stops === null ? '' : `long=${stops.served}/${stops.sent} late=${stops.late} `}${cutOff.sent === 0 ? '' : `cutoff=${cutOff.served}/${cutOff.sent} `}${silences === null ? '' : `begun=${silences.begun.whole}/${silences.begun.sent} waiting=${silences.waiting.whole}/${silences.waiting.sent} lasting=${silences.lasting.whole}/${silences.lasting.sent} refused=${silences.unmet.refused}/${silences.unmet.sent} `}${contention === '' ? '' : `${contention} `}violations=${violations.length}\n`)
  if (violations.length > 0) saveLogs(seed, logs)
  return { violations }
}

// Saves the logs of a failed history for diagnosis.
function saveLogs (seed: number, logs: ReadonlyMap<string, readonly string[]>): void {
  const folder = join('data', `soak-${seed}`)
  mkdirSync(folder, { recursive: true })
  for (const [name, lines] of logs) writeFileSync(join(folder, `${name}.log`), `${lines.join('\n')}\n`)
  process.stdout.write(`logs of seed ${seed}: ${folder}\n`)
}
