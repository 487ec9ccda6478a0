/**
 * Runs the tests. KNOWN-RED.txt lists known failures, one entry a line:
 *
 *     test: NAME | COMMAND, with its seed | what was seen | number of the open issue
 *
 * The tests that it names may fail and are printed; any other failure fails the
 * run, and so does an entry of another form. `case: NAME` in place of the test
 * stands for a script outside the suite.
 */
import { once } from 'node:events'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { run } from 'node:test'
import { spec as Spec } from 'node:test/reporters'

const folder = 'dist/test'
const sources = 'test'
const listFile = 'KNOWN-RED.txt'
/** Number of test files run in parallel. */
const concurrency = 4
/** Files whose tests measure whole processes: they run after the others, one at a time. */
const alonePattern = /\.alone\.test\.js$/
/** Timeout of a test, ms. */
const timeout = 120_000
const entryPattern = /^(test|case): (\S.*?) \| \S.* \| \S.* \| \d+$/

function readKnown () {
  if (!existsSync(listFile)) return []
  const lines = readFileSync(listFile, 'utf8').split('\n').filter(line => line.trim() !== '')
  return lines.map(line => {
    const [, kind, name] = entryPattern.exec(line) ?? []
    return { line, kind, name }
  })
}

// Skips compiled tests whose source was deleted, as the compiler leaves them in the output folder.
function listFiles () {
  const isTest = name => name.endsWith('.test.js') && existsSync(join(sources, name.replace(/js$/, 'ts')))
  return readdirSync(folder).filter(isTest).sort().map(name => join(folder, name))
}

function report (known, failed) {
  const names = known.filter(({ kind }) => kind === 'test').map(({ name }) => name)
  const malformed = known.filter(({ kind }) => kind === undefined)
  const unexpected = failed.filter(name => !names.includes(name))
  for (const name of names) console.log(`known red: ${name}: ${failed.includes(name) ? 'failed' : 'passed in this run'}`)
  for (const { kind, name } of known) if (kind === 'case') console.log(`known red: ${name}: not in the suite`)
  for (const name of unexpected) console.log(`failed: ${name}`)
  for (const { line } of malformed) console.log(`${listFile} has an entry of another form: ${line}`)
  if (unexpected.length > 0 || malformed.length > 0) process.exitCode = 1
}

// Resolves with the names of the tests that failed.
async function runFiles (files, concurrency) {
  const failed = []
  const events = run({ files, concurrency, timeout })
  events.on('test:fail', ({ name }) => failed.push(name))
  const output = events.compose(new Spec())
  output.pipe(process.stdout, { end: false })
  await once(output, 'end')
  return failed
}

const known = readKnown()
const files = listFiles()
const failed = [
  ...await runFiles(files.filter(file => !alonePattern.test(file)), concurrency),
  ...await runFiles(files.filter(file => alonePattern.test(file)), 1)
]
report(known, failed)
