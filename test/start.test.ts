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

// Guards against boxes that fail to start because of a missing or damaged code cache.
const states: { name: string, prepare: () => void, err: RegExp }[] = [
  { name: 'is missing', prepare: () => {}, err: /cannot read code cache .*\.compiled: compiling the program from source/ },
  { name: 'is valid', prepare: () => assert.equal(start('--compile', '50', program, 'a.toml').status, 0), err: /^$/ },
  { name: 'is damaged', prepare: () => writeFileSync(cachePath, 'torn'), err: /code cache rejected, from another version or damaged: compiling from source/ }
]

for (const { name, prepare, err } of states) {
  test(`a program starts with its file name and arguments when its code cache ${name}`, () => {
    prepare()
    const result = start(program, 'a.toml')
    assert.deepEqual([result.status, result.out], [0, expectedOutput])
    assert.match(result.err, err)
  })
}

const invalidUsages: { name: string, args: string[] }[] = [
  { name: 'no program', args: [] },
  { name: 'no time after --compile', args: ['--compile', program] }
]

for (const { name, args } of invalidUsages) {
  test(`invalid usage prints one line and exits with the usage code: ${name}`, () => {
    const result = start(...args)
    assert.deepEqual([result.status, result.err], [2, 'error: start [--compile MS] PROGRAM [ARGUMENTS]'])
  })
}
