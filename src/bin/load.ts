#!/usr/bin/env node
/** A closed-loop load generator: each caller sends its next request when the previous one has completed. */
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import sade from 'sade'
import { LoadGenerator } from './load-run.js'
import type { LoadOptions } from './load-run.js'
import { exitWithError, readVersion, usageExitCode } from './program.js'

const originPattern = /^http:\/\/[^/]+$/

sade('load', true)
  .version(readVersion())
  .describe('Sends load to a chat endpoint, and prints throughput and latencies as one JSON object.')
  .option('--url', 'Target URLs, separated by commas, used round-robin', 'http://127.0.0.1:8080')
  .option('--key', 'Workspace key', 'demo-campsites')
  .option('--callers', 'Number of concurrent callers', 50)
  .option('--seconds', 'Duration', 5)
  .option('--tokens', 'Tokens per response', 20)
  .option('--model', 'Model to request', 'steppe-small')
  .option('--name', 'Name of the run, included in the result', 'run')
  .option('--think', 'Maximum think time, ms: each caller waits a random time up to this between requests', 0)
  .option('--service', 'Call this path of a plain service, each time with a new Idempotency-Key, instead of sending chats')
  .action((options: LoadOptions) => run(options))
  .parse(process.argv)

async function run (options: LoadOptions): Promise<void> {
  const urls = options.url.split(',')
  for (const url of urls) if (!originPattern.test(url)) exitWithError(usageExitCode, `--url must be http://HOST:PORT, got ${JSON.stringify(url)}`)
  const callers = readCount('--callers', options.callers)
  const deadline = performance.now() + readCount('--seconds', options.seconds) * 1000
  const generator = new LoadGenerator(options, urls, readCount('--tokens', options.tokens))
  const thinkMs = Number(options.think)
  if (!(thinkMs >= 0)) exitWithError(usageExitCode, `--think must be a number of at least 0, got ${JSON.stringify(options.think)}`)
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
  if (!Number.isInteger(count) || count < 1) exitWithError(usageExitCode, `${option} must be an integer above 0, got ${JSON.stringify(value)}`)
  return count
}
