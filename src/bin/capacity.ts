#!/usr/bin/env node
/** Measures how costs grow with size (slopes), and writes them with the derived capacity tables into a Markdown page. */
import { readFileSync, writeFileSync } from 'node:fs'
import { cpus, totalmem } from 'node:os'
import sade from 'sade'
import { fitSamples, formatDataPath, formatFailures, formatKeepers, formatNodeBytes, formatNodeCore, formatNodeMemory, formatSlopes, measureChangeBytes, measureChangeMemory, measureChangeTime, measureClaimMemory, measureClaimTime, measureConfigMemory, measureDecision, measureDocuments, measureEngineMemory, measureLoads, measureLogBytes, measureMembers, measurePartitioning, measurePollBytes, measureRemoteRequest, measureRequestMemory, measureRestart, measureSnapshot, measureSyncs, measureWatch, readSamples, target } from '../capacity/index.js'
import type { Measurements, Slope } from '../capacity/index.js'
import { measureRemoteShare } from '../measure/index.js'
import { exitWithError, readVersion, usageExitCode } from './program.js'

interface Options {
  readonly part?: string
  readonly sizes?: string
  readonly entry?: string
  readonly write?: string
  readonly commit: string
}

/** What can be measured, by name, with the default sizes. */
const parts: Readonly<Record<string, { readonly sizes: readonly number[], readonly measure: (sizes: readonly number[]) => readonly Slope[] | Promise<readonly Slope[]> }>> = {
  decision: { sizes: [32, 65, 250, 1000, 2000], measure: sizes => [measureDecision(sizes)] },
  parting: { sizes: [1500, 3000, 6000, 12_000], measure: sizes => [measurePartitioning(sizes)] },
  members: { sizes: [10, 30, 100, 300, 600], measure: sizes => measureMembers(sizes) },
  loads: { sizes: [0, 16, 32, 64], measure: sizes => [measureLoads(sizes)] },
  changes: { sizes: [600, 1200, 2400, 4800], measure: sizes => [measureChangeTime(sizes), measureConfigMemory(sizes)] },
  documents: { sizes: [350, 1400, 4200, 10_000], measure: sizes => measureDocuments(sizes) },
  engines: { sizes: [32, 65, 250, 1000], measure: sizes => [measureEngineMemory(sizes)] },
  requests: { sizes: [250, 500, 1000, 2000], measure: sizes => [measureRequestMemory(sizes)] },
  claims: { sizes: [5000, 10_000, 20_000, 40_000], measure: sizes => [measureClaimMemory(sizes), measureClaimTime(sizes)] },
  ledger: { sizes: [3000, 7000, 15_000, 29_000], measure: sizes => [measureChangeMemory(sizes)] },
  restart: { sizes: [10_000, 25_000, 50_000, 100_000], measure: async sizes => [await measureRestart(sizes)] }
}

sade('capacity', true)
  .version(readVersion())
  .describe('Measures how costs grow with size and derives capacity tables.')
  .option('--part', `One or more of ${Object.keys(parts).join(', ')}, separated by commas; all by default`)
  .option('--sizes', 'Sizes to measure at, separated by commas, with one part')
  .option('--entry', 'File with samples of an entry process, as written by scripts/capacity.sh')
  .option('--write', 'Markdown file whose tables are replaced')
  .option('--commit', 'Commit named in the tables', 'unknown')
  .action((options: Options) => run(options))
  .parse(process.argv)

async function run (options: Options): Promise<void> {
  const names = options.part === undefined ? Object.keys(parts) : String(options.part).split(',')
  for (const name of names) {
    if (!Object.hasOwn(parts, name)) exitWithError(usageExitCode, `--part: unknown part ${JSON.stringify(name)}; expected ${Object.keys(parts).join(', ')}`)
  }
  const sizes = readSizes(options)
  const slopes = new Map<string, Slope>()
  for (const name of names) {
    for (const slope of await parts[name].measure(sizes ?? parts[name].sizes)) {
      slopes.set(slope.name, slope)
      process.stdout.write(`${JSON.stringify(slope)}\n`)
    }
  }
  if (options.entry !== undefined) for (const slope of fitSamples(readSamples(options.entry))) slopes.set(slope.name, slope)
  if (options.write !== undefined) await writeTables(options.write, slopes, options.commit)
}

function readSizes (options: Options): number[] | null {
  if (options.sizes === undefined) return null
  if (options.part === undefined || options.part.includes(',')) exitWithError(usageExitCode, '--sizes requires exactly one --part')
  const sizes = String(options.sizes).split(',').map(Number)
  if (sizes.length < 2 || !sizes.every(size => Number.isInteger(size) && size > 0)) {
    exitWithError(usageExitCode, `--sizes must be two or more integers above 0, got ${String(options.sizes)}`)
  }
  return sizes
}

async function writeTables (path: string, slopes: ReadonlyMap<string, Slope>, commit: string): Promise<void> {
  const log = measureLogBytes()
  const measured: Measurements = {
    slopes,
    scalars: {
      remoteRequestBytes: measureRemoteRequest(),
      pollBytes: await measurePollBytes(),
      remoteShare: measureRemoteShare(),
      changeBytes: measureChangeBytes(),
      watch: measureWatch(target.engines / target.nodes),
      logChangeBytes: log.change,
      logClaimBytes: log.claim,
      syncsPerSecond: await measureSyncs(),
      snapshot: await measureSnapshot(target.changesPerDay)
    },
    machine: `${cpus().length} cores (${cpus()[0].model.trim()}), ${Math.round(totalmem() / 2 ** 30)} GiB, Node ${process.version}`,
    date: new Date().toISOString().slice(0, 10),
    commit
  }
  const tables: Readonly<Record<string, (measured: Measurements) => string>> = {
    slopes: formatSlopes,
    bytes: formatNodeBytes,
    core: formatNodeCore,
    memory: formatNodeMemory,
    data: formatDataPath,
    keepers: formatKeepers,
    failures: formatFailures
  }
  let text = readFileSync(path, 'utf8')
  for (const [name, format] of Object.entries(tables)) text = replaceTable(text, name, format(measured))
  writeFileSync(path, text)
}

function replaceTable (text: string, name: string, table: string): string {
  const [beginMarker, endMarker] = [`<!-- begin:${name} -->`, `<!-- end:${name} -->`]
  const beginIndex = text.indexOf(beginMarker)
  const endIndex = text.indexOf(endMarker)
  if (beginIndex < 0 || endIndex < beginIndex) exitWithError(usageExitCode, `the page has no begin and end markers for table ${name}`)
  return `${text.slice(0, beginIndex + beginMarker.length)}\n\n${table}\n\n${text.slice(endIndex)}`
}
