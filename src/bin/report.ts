#!/usr/bin/env node
/** `npm run measure:report`: generates a Markdown page and its plots from measured rows. */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import sade from 'sade'
import type { ResultRow } from '../measure/index.js'
import { composeReport } from '../report/index.js'
import { exitWithError, readUserFile, readVersion, usageExitCode } from './program.js'

interface Options {
  readonly page: string
  readonly _: readonly string[]
}

const marker = '<!-- measured -->'

sade('report <rows>', true)
  .version(readVersion())
  .describe('Generates a page of tables and plots from files with one JSON row per line.')
  .option('--page', 'Markdown file; everything after its marker is replaced', 'docs/MEASURED.md')
  .action((firstPath: string, options: Options) => writeReport([firstPath, ...options._], options.page))
  .parse(process.argv)

function writeReport (paths: readonly string[], page: string): void {
  const rows = paths.flatMap(readRows)
  if (rows.length === 0) exitWithError(usageExitCode, 'the input files contain no rows')
  const report = composeReport(rows)
  const text = readFileSync(page, 'utf8')
  const markerIndex = text.indexOf(marker)
  if (markerIndex < 0) exitWithError(usageExitCode, `${page} lacks the marker ${marker}`)
  writeFileSync(page, `${text.slice(0, markerIndex + marker.length)}\n\n${report.page}`)
  const folder = join(dirname(page), 'measured')
  mkdirSync(folder, { recursive: true })
  for (const [name, plot] of report.plots) writeFileSync(join(folder, name), plot)
}

function readRows (path: string): ResultRow[] {
  return readUserFile(path).split('\n').filter(line => line !== '').map((line, i) => {
    try {
      return JSON.parse(line) as ResultRow
    } catch {
      return exitWithError(usageExitCode, `${path}:${i + 1}: line is not valid JSON`)
    }
  })
}
