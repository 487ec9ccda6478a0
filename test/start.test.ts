import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'

const folder = mkdtempSync(join(tmpdir(), 'wrenlane-start-'))
const program = join(folder, 'program.cjs')
const compiled = `${program}.compiled`
after(() => rmSync(folder, { recursive: true }))
writeFileSync(program, 'console.log(JSON.stringify([typeof require(\'fs\').readFileSync, __filename, process.argv.slice(2)]))')

function start (...words: string[]): { readonly status: number | null, readonly out: string, readonly err: string } {
  const { status, stdout, stderr } = spawnSync(process.execPath, ['dist/src/bin/start.js', ...words], { encoding: 'utf8' })
  return { status, out: stdout.trim(), err: stderr.trim() }
}

const told = JSON.stringify(['function', program, ['a.toml']])

// What was compiled must never decide whether a box starts.
const states: { name: string, prepare: () => void, err: RegExp }[] = [
  { name: 'was never written', prepare: () => {}, err: /can't be read: the program is compiled anew/ },
  { name: 'is of this program', prepare: () => assert.equal(start('--compile', '50', program, 'a.toml').status, 0), err: /^$/ },
  { name: 'is torn', prepare: () => writeFileSync(compiled, 'torn'), err: /of another version: it is compiled anew/ }
]

for (const { name, prepare, err } of states) {
  test(`a program starts as it is named, with its words, where its compiled code ${name}`, () => {
    prepare()
    const end = start(program, 'a.toml')
    assert.deepEqual([end.status, end.out], [0, told])
    assert.match(end.err, err)
  })
}

const wrong: { name: string, words: string[] }[] = [
  { name: 'no program', words: [] },
  { name: 'no time to compile in', words: ['--compile', program] }
]

for (const { name, words } of wrong) {
  test(`${name} is told in a line, with the exit code of wrong usage`, () => {
    const end = start(...words)
    assert.deepEqual([end.status, end.err], [2, 'error: start [--compile MS] PROGRAM [ARGUMENTS]'])
  })
}
