#!/usr/bin/env node
/** `npm run measure:report`: writes docs/MEASURED.md and its plots from measured rows. */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import sade from 'sade'
import type { Row } from '../measure/index.js'
import { composeReport } from '../report/index.js'
import { endWith, readNamed, readVersion, usageExit } from './program.js'

interface Options {
  readonly page: string
  readonly _: readonly string[]
}

const marker = '<!-- measured -->'

sade('report <rows>', true)
  .version(readVersion())
  .describe('Writes a page of tables and plots from files of rows, one JSON object a line.')
  .option('--page', 'Markdown file; what follows its marker is written anew', 'docs/MEASURED.md')
  .action((first: string, options: Options) => write([first, ...options._], options.page))
  .parse(process.argv)

function write (paths: readonly string[], page: string): void {
  const rows = paths.flatMap(readRows)
  if (rows.length === 0) endWith(usageExit, 'the files hold no rows')
  const report = composeReport(rows)
  const text = readFileSync(page, 'utf8')
  const at = text.indexOf(marker)
  if (at < 0) endWith(usageExit, `${page} has no line ${marker}`)
  writeFileSync(page, `${text.slice(0, at + marker.length)}\n\n${report.page}`)
  const folder = join(dirname(page), 'measured')
  mkdirSync(folder, { recursive: true })
  for (const [name, plot] of report.plots) writeFileSync(join(folder, name), plot)
}

function readRows (path: string): Row[] {
  return readNamed(path).split('\n').filter(line => line !== '').map((line, i) => {
    try {
      return JSON.parse(line) as Row
    } catch {
      return endWith(usageExit, `${path}:${i + 1}: not a JSON row`)
    }
  })
}
