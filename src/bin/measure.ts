#!/usr/bin/env node
/** `npm run measure`: compares the scheduler with baseline policies in a simulation with virtual time. */
import sade from 'sade'
import { findScenario, policies, runExperiment, scenarios, sharingPolicies, userProfiles } from '../measure/index.js'
import type { ResultRow } from '../measure/index.js'
import { exitWithError, readVersion, usageExitCode } from './program.js'

interface Options {
  readonly json?: boolean
  readonly user?: string
  readonly scenario?: string
  readonly policy?: string
  readonly seed?: string | number
}

const defaultSeeds = [1, 2, 3, 4, 5]
const columns = ['user', 'scenario', 'policy', 'seed', 'class', 'offered', 'finished', 'attainment', 'goodput', 'wasted', 'worstWaitMs', 'shed', 'left', 'failed', 'preempted', 'violations', 'unfinished'] as const
const widths = [10, 16, 15, 5, 16, 8, 9, 11, 9, 8, 12, 8, 7, 7, 10, 11, 10]

sade('measure', true)
  .version(readVersion())
  .describe('Runs the scheduler in virtual time. Lists are separated by commas; an omitted list means all.')
  .option('--json', 'Print one JSON object per row')
  .option('--user', `One or more of ${userProfiles.map(user => user.name).join(', ')}`)
  .option('--scenario', `One or more of ${scenarios.map(scenario => scenario.name).join(', ')}, long-burst`)
  .option('--policy', `One or more of ${[...Object.keys(policies), ...Object.keys(sharingPolicies)].join(', ')}; "sharing" for all sharing policies`)
  .option('--seed', 'Seeds, non-negative integers', defaultSeeds.join(','))
  .action((options: Options) => measure(options))
  .parse(process.argv)

function measure (options: Options): void {
  const seeds = String(options.seed).split(',').map(Number)
  if (!seeds.every(seed => Number.isInteger(seed) && seed >= 0)) exitWithError(usageExitCode, `--seed must be integers of at least 0, got ${String(options.seed)}`)
  const knownPolicies = [...Object.keys(policies), ...Object.keys(sharingPolicies)]
  const selectedPolicies = options.policy === 'sharing' ? Object.keys(sharingPolicies) : splitList(options.policy) ?? Object.keys(policies)
  rejectUnknown('--policy', selectedPolicies, name => knownPolicies.includes(name))
  const users = splitList(options.user)
  rejectUnknown('--user', users ?? [], name => userProfiles.some(user => user.name === name))
  const names = splitList(options.scenario)
  rejectUnknown('--scenario', names ?? [], name => findScenario(name) !== undefined)
  if (options.json !== true) process.stdout.write(formatHeader())
  runExperiment({ users, scenarios: names, policies: selectedPolicies, seeds }, row => {
    process.stdout.write(options.json === true ? `${JSON.stringify(row)}\n` : formatRow(row))
  })
}

function splitList (text: string | undefined): string[] | undefined {
  return text?.split(',')
}

function rejectUnknown (option: string, names: readonly string[], isKnown: (name: string) => boolean): void {
  for (const name of names) {
    if (!isKnown(name)) exitWithError(usageExitCode, `${option}: unknown name ${JSON.stringify(name)}; see --help`)
  }
}

function formatHeader (): string {
  return `${columns.map((name, i) => name.padEnd(widths[i])).join(' ')}\n`
}

function formatRow (row: ResultRow): string {
  return `${columns.map((name, i) => String(row[name]).padEnd(widths[i])).join(' ')}\n`
}
