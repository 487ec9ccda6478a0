import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { test } from 'node:test'
import { LineCap } from '../src/runtime/index.js'

test('over its cap a log leaves out successes first, then warnings, errors last; and counts them', () => {
  const cap = new LineCap(100)
  const admitted = { info: 0, warn: 0, error: 0 }
  for (let i = 0; i < 300; i++) {
    for (const level of ['info', 'warn', 'error'] as const) if (cap.admit(level, 500)) admitted[level] += 1
  }
  assert.ok(admitted.info < admitted.warn + admitted.info && admitted.info <= 60)
  assert.equal(admitted.info + admitted.warn + admitted.error, 100)
  assert.equal(cap.takeLeftOut(), 800)
  assert.equal(cap.takeLeftOut(), 0)
  assert.ok(cap.admit('info', 1500))
})

const writer = `
import { openProgramLog } from '${new URL('../src/runtime/index.js', import.meta.url).href}'
const { log, sink } = openProgramLog('box', 1_000_000)
let turns = 0
const timer = setInterval(() => {
  for (let i = 0; i < 500; i++) log.info('line', { i, filler: 'x'.repeat(200) })
  turns += 1
  if (turns === 40) {
    process.send({ turns, dropped: sink.dropped })
    clearInterval(timer)
    process.exit(0)
  }
}, 5)
`

test('a reader that stalls does not hold the process up: lines are dropped and counted', async () => {
  // Nobody reads the child's standard output.
  const child = spawn(process.execPath, ['--input-type=module', '-e', writer], { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] })
  const told = await new Promise<{ turns: number, dropped: number }>((resolve, reject) => {
    child.once('message', message => resolve(message as { turns: number, dropped: number }))
    child.once('exit', code => reject(new Error(`ended with ${code} before its word`)))
  })
  child.kill()
  assert.equal(told.turns, 40)
  assert.ok(told.dropped > 0, 'some were dropped')
})
