#!/usr/bin/env node
/** A load generator: so many callers, each asking again as soon as it is answered. */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import sade from 'sade'
import { LoadGenerator } from './load-run.js'
import type { LoadOptions } from './load-run.js'
import { exitWithError, readVersion, usageExitCode } from './program.js'

const originPattern = /^http:\/\/[^/]+$/

sade('load', true)
  .version(readVersion())
  .describe('Loads a chat endpoint, and prints rates and times as one JSON object.')
  .option('--url', 'Where to ask; several, separated by commas, are taken in turn', 'http://127.0.0.1:8080')
  .option('--key', 'Workspace key', 'demo-campsites')
  .option('--callers', 'Callers at a time', 50)
  .option('--seconds', 'How long', 5)
  .option('--tokens', 'Tokens of each answer', 20)
  .option('--model', 'Model to ask for', 'steppe-small')
  .option('--name', 'Name of the run, given back in the result', 'run')
  .option('--think', 'A caller waits up to so many ms, by lot, before it asks again', 0)
  .option('--service', 'Call this path of a plain service, with a new Idempotency-Key each, instead of chats')
  .action((options: LoadOptions) => run(options))
  .parse(process.argv)

async function run (options: LoadOptions): Promise<void> {
  const urls = options.url.split(',')
  for (const url of urls) if (!originPattern.test(url)) exitWithError(usageExitCode, `--url takes http://HOST:PORT, not ${JSON.stringify(url)}`)
  const callers = readCount('--callers', options.callers)
  const deadline = performance.now() + readCount('--seconds', options.seconds) * 1000
  const generator = new LoadGenerator(options, urls, readCount('--tokens', options.tokens))
  const thinkMs = Number(options.think)
  if (!(thinkMs >= 0)) exitWithError(usageExitCode, `--think takes a number from 0, not ${JSON.stringify(options.think)}`)
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: callers }, async () => {
    while (performance.now() < deadline) {
      await generator.sendRequest()
      if (thinkMs > 0) await sleep(Math.random() * thinkMs)
    }
  }))
  process.stdout.write(`${JSON.stringify(generator.summarise(performance.now() - startedAt, callers))}\n`)
  process.exit(0)
}

function readCount (option: string, value: string | number): number {
  const count = Number(value)
  if (!Number.isInteger(count) || count < 1) exitWithError(usageExitCode, `${option} takes a whole number over 0, not ${JSON.stringify(value)}`)
  return count
}
