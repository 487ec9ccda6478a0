#!/usr/bin/env node
/** `npm run soak`: random histories for as long as is asked, with every invariant checked. */
import { performance } from 'node:perf_hooks'
import sade from 'sade'
import { RaftHistory, SchedulerHistory } from '../proof/index.js'
import { endWith, failureExit, readVersion, usageExit } from './program.js'

interface Options {
  readonly part: string
  readonly seconds: string | number
  readonly seed: string | number
  readonly steps: string | number
}

interface Found {
  readonly violations: readonly string[]
}

/** One history of each part, by seed. */
const parts: Readonly<Record<string, (seed: number, steps: number) => Found>> = {
  coordination: (seed, steps) => new RaftHistory(seed, seed % 3 === 0 ? 5 : 3).run(steps),
  decisions: (seed, steps) => new SchedulerHistory(seed, 1 + seed % 6).run(steps)
}

sade('soak', true)
  .version(readVersion())
  .describe('Runs random histories and checks every invariant. A seed that fails replays the same with --seconds 0.')
  .option('--part', `One of ${Object.keys(parts).join(', ')}, or all`, 'all')
  .option('--seconds', 'How long; 0 runs the one seed', 10)
  .option('--seed', 'First seed', 1)
  .option('--steps', 'Random steps of each history', 1500)
  .action((options: Options) => run(options))
  .parse(process.argv)

function run (options: Options): void {
  const [seconds, first, steps] = [options.seconds, options.seed, options.steps].map(Number)
  if (!(seconds >= 0) || !Number.isInteger(first) || !(steps > 0)) endWith(usageExit, '--seconds, --seed and --steps take numbers from 0')
  const names = options.part === 'all' ? Object.keys(parts) : [options.part]
  for (const name of names) {
    if (!Object.hasOwn(parts, name)) endWith(usageExit, `--part does not know ${JSON.stringify(name)}; it knows ${Object.keys(parts).join(', ')}, all`)
  }
  for (const name of names) soak(name, seconds / names.length, first, steps)
}

function soak (name: string, seconds: number, first: number, steps: number): void {
  const until = performance.now() + seconds * 1000
  let seed = first
  do {
    const { violations } = parts[name](seed, steps)
    if (violations.length > 0) {
      process.stdout.write(`part=${name} seed=${seed} steps=${steps} violations=${JSON.stringify(violations)}\n`)
      endWith(failureExit, `replay with: npm run soak -- --part ${name} --seed ${seed} --steps ${steps} --seconds 0`)
    }
    seed += 1
  } while (performance.now() < until)
  process.stdout.write(`part=${name} seeds=${first}..${seed - 1} histories=${seed - first} steps=${steps} violations=0\n`)
}
