import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'

const folder = mkdtempSync(join(tmpdir(), 'wrenlane-start-'))
const program = join(folder, 'program.cjs')
const cachePath = `${program}.compiled`
after(() => rmSync(folder, { recursive: true }))
writeFileSync(program, 'console.log(JSON.stringify([typeof require(\'fs\').readFileSync, __filename, process.argv.slice(2)]))')

function start (...args: string[]): { readonly status: number | null, readonly out: string, readonly err: string } {
  const { status, stdout, stderr } = spawnSync(process.execPath, ['dist/src/bin/start.js', ...args], { encoding: 'utf8' })
  return { status, out: stdout.trim(), err: stderr.trim() }
}

const expectedOutput = JSON.stringify(['function', program, ['a.toml']])

// What was compiled must never decide whether a box starts.
const states: { name: string, prepare: () => void, err: RegExp }[] = [
  { name: 'was never written', prepare: () => {}, err: /can't be read: the program is compiled anew/ },
  { name: 'is of this program', prepare: () => assert.equal(start('--compile', '50', program, 'a.toml').status, 0), err: /^$/ },
  { name: 'is torn', prepare: () => writeFileSync(cachePath, 'torn'), err: /of another version: it is compiled anew/ }
]

for (const { name, prepare, err } of states) {
  test(`a program starts as it is named, with its words, where its compiled code ${name}`, () => {
    prepare()
    const result = start(program, 'a.toml')
    assert.deepEqual([result.status, result.out], [0, expectedOutput])
    assert.match(result.err, err)
  })
}

const invalidUsages: { name: string, args: string[] }[] = [
  { name: 'no program', args: [] },
  { name: 'no time to compile in', args: ['--compile', program] }
]

for (const { name, args } of invalidUsages) {
  test(`${name} is told in a line, with the exit code of wrong usage`, () => {
    const result = start(...args)
    assert.deepEqual([result.status, result.err], [2, 'error: start [--compile MS] PROGRAM [ARGUMENTS]'])
  })
}
