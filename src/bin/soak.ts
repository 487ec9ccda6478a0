#!/usr/bin/env node
/** `npm run soak`: random histories for as long as is asked, with every invariant checked. */
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
}

/** What is asked of any history: the promises that it found broken. */
interface HistoryResult {
  readonly violations: readonly string[]
}

/** One history of each part, by seed. */
const parts: Readonly<Record<string, (seed: number, options: Options) => HistoryResult | Promise<HistoryResult>>> = {
  coordination: (seed, { steps }) => new RaftHistory(seed, seed % 3 === 0 ? 5 : 3).run(Number(steps)),
  decisions: (seed, { steps }) => new SchedulerHistory(seed, 1 + seed % 6).run(Number(steps)),
  processes: runProcesses
}
/** Parts that `all` runs: processes are asked for by name, as they need many ports and some memory. */
const defaultParts = ['coordination', 'decisions']
/** A step of a history over processes is a tenth of a second of faults, ms. */
const stepMs = 100

sade('soak', true)
  .version(readVersion())
  .describe('Runs random histories and checks every invariant. A seed that fails replays the same with --seconds 0.')
  .option('--part', `One of ${Object.keys(parts).join(', ')}, or all (${defaultParts.join(' and ')})`, 'all')
  .option('--seconds', 'How long; 0 runs the one seed', 10)
  .option('--seed', 'First seed', 1)
  .option('--steps', 'Random steps of each history; of processes, tenths of a second', 1500)
  .option('--gateways', 'Gateways, of processes', 3)
  .option('--registries', 'Registries, of processes', 3)
  .option('--engines', 'Engines, of processes, with bursts of requests of several ranks before them; 0 for none', 0)
  .option('--endpoints', 'Endpoints of a plain service, of processes', 4)
  .option('--crashers', 'Requests that end each endpoint which runs them and come again and again, of processes; 0 for none', 0)
  .option('--notices', 'Endpoints name limits on their answers, ask to back off, and say that they leave, of processes')
  .action((options: Options) => run(options))
  .parse(process.argv)

// Ends the program where the options make no sense.
async function run (options: Options): Promise<void> {
  const [seconds, firstSeed, steps] = [options.seconds, options.seed, options.steps].map(Number)
  if (!(seconds >= 0) || !Number.isInteger(firstSeed) || !(steps > 0)) exitWithError(usageExitCode, '--seconds, --seed and --steps take numbers from 0')
  if (![options.gateways, options.registries, options.endpoints].every(count => Number.isInteger(Number(count)) && Number(count) > 0)) exitWithError(usageExitCode, '--gateways, --registries and --endpoints take whole numbers from 1')
  if (![options.engines, options.crashers].every(count => Number.isInteger(Number(count)) && Number(count) >= 0)) exitWithError(usageExitCode, '--engines and --crashers take whole numbers from 0')
  const names = options.part === 'all' ? defaultParts : [options.part]
  for (const name of names) {
    if (!Object.hasOwn(parts, name)) exitWithError(usageExitCode, `--part does not know ${JSON.stringify(name)}; it knows ${Object.keys(parts).join(', ')}, all`)
  }
  for (const name of names) await runPart(name, seconds / names.length, firstSeed, options)
}

// Runs histories of one part, from the first seed on, until the time is over or one fails.
async function runPart (name: string, seconds: number, firstSeed: number, options: Options): Promise<void> {
  const deadline = performance.now() + seconds * 1000
  let seed = firstSeed
  do {
    const { violations } = await parts[name](seed, options)
    if (violations.length > 0) {
      process.stdout.write(`part=${name} seed=${seed} steps=${options.steps} violations=${JSON.stringify(violations)}\n`)
      exitWithError(failureExitCode, `replay with: npm run soak -- --part ${name} --seed ${seed} --steps ${options.steps} --gateways ${options.gateways} --registries ${options.registries} --engines ${options.engines} --endpoints ${options.endpoints} --crashers ${options.crashers}${options.notices === true ? ' --notices' : ''} --seconds 0`)
    }
    seed += 1
  } while (performance.now() < deadline)
  process.stdout.write(`part=${name} seeds=${firstSeed}..${seed - 1} histories=${seed - firstSeed} steps=${options.steps} violations=0\n`)
}

async function runProcesses (seed: number, options: Options): Promise<HistoryResult> {
  const deployment = { gateways: Number(options.gateways), registries: Number(options.registries), endpoints: Number(options.endpoints), engines: Number(options.engines), crashers: Number(options.crashers), notices: options.notices === true }
  const history = new SoakHistory(seed, Number(options.steps) * stepMs, deployment)
  // Whoever ends the soak ends what it started.
  const stopAndExit = (): void => { void history.stop().then(() => process.exit(failureExitCode)) }
  process.once('SIGTERM', stopAndExit).once('SIGINT', stopAndExit)
  const { violations, calls, served, faults, ranked, crashes, logs } = await history.run()
  process.off('SIGTERM', stopAndExit).off('SIGINT', stopAndExit)
  process.stdout.write(`seed=${seed} calls=${calls} served=${served} faults=${faults} ${ranked.map(({ kind, asked, served, inTime }) => `${kind}=${inTime}/${served}/${asked} `).join('')}${crashes === null ? '' : `ended=${crashes.ended.join('/')} harmless=${crashes.served}/${crashes.asked} back=${crashes.backMs.map(Math.round).join('/')} `}violations=${violations.length}\n`)
  if (violations.length > 0) saveLogs(seed, logs)
  return { violations }
}

// The logs of a history that failed, for whoever traces it.
function saveLogs (seed: number, logs: ReadonlyMap<string, readonly string[]>): void {
  const folder = join('data', `soak-${seed}`)
  mkdirSync(folder, { recursive: true })
  for (const [name, lines] of logs) writeFileSync(join(folder, `${name}.log`), `${lines.join('\n')}\n`)
  process.stdout.write(`logs of seed ${seed}: ${folder}\n`)
}
