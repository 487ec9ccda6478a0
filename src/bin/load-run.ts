import { Agent, request as httpRequest } from 'node:http'
import { performance } from 'node:perf_hooks'
import hdr from 'hdr-histogram-js'

const microsecondsPerMs = 1000

/** Options of a run, as parsed from the command line. */
export interface LoadOptions {
  readonly url: string
  readonly key: string
  readonly callers: string | number
  readonly seconds: string | number
  readonly tokens: string | number
  readonly model: string
  readonly name: string
  readonly service?: string
  readonly think: string | number
}

/** Sends the requests of one run and records outcomes and latencies. */
export class LoadGenerator {
  #options: LoadOptions
  #urls: readonly string[]
  #agent = new Agent({ keepAlive: true, maxSockets: 8192 })
  #body: string
  #firstChunkTimes = hdr.build()
  #totalTimes = hdr.build()
  #answered = 0
  #refused = 0
  #failed = 0
  #tokens = 0
  #sentCount = 0

  constructor (options: LoadOptions, urls: readonly string[], tokens: number) {
    this.#options = options
    this.#urls = urls
    this.#body = JSON.stringify({ model: options.model, messages: [{ role: 'user', content: 'how many nights?' }], max_tokens: tokens, stream: true })
  }

  /** Sends one request to the next URL, round-robin; resolves after the response was read or failed. */
  sendRequest (): Promise<void> {
    this.#sentCount += 1
    const url = this.#urls[this.#sentCount % this.#urls.length]
    const startedAt = performance.now()
    return new Promise(resolve => {
      const request = httpRequest(`${url}${this.#path}`, { method: 'POST', agent: this.#agent, headers: this.#headers }, response => {
        let isFirst = true
        let lastChunk: Buffer | null = null
        response.on('data', (chunk: Buffer) => {
          if (isFirst) this.#firstChunkTimes.recordValue((performance.now() - startedAt) * microsecondsPerMs)
          isFirst = false
          lastChunk = chunk
          this.#tokens += countTokens(chunk)
        })
        response.on('end', () => {
          this.#recordOutcome(response.statusCode ?? 0, lastChunk, performance.now() - startedAt)
          resolve()
        })
        response.on('error', () => {
          this.#failed += 1
          resolve()
        })
      })
      request.on('error', () => {
        this.#failed += 1
        resolve()
      })
      request.end(this.#options.service === undefined ? this.#body : '{"pitch":7}')
    })
  }

  summarise (ms: number, callers: number) {
    const seconds = ms / 1000
    return {
      name: this.#options.name,
      callers,
      answered: this.#answered,
      refused: this.#refused,
      failed: this.#failed,
      requestsPerSecond: Math.round(this.#answered / seconds),
      tokensPerSecond: Math.round(this.#tokens / seconds),
      firstMs: readPercentiles(this.#firstChunkTimes),
      wholeMs: readPercentiles(this.#totalTimes)
    }
  }

  get #path (): string { return this.#options.service ?? '/v1/chat/completions' }

  get #headers (): Record<string, string> {
    const headers: Record<string, string> = { authorization: `Bearer ${this.#options.key}`, 'content-type': 'application/json' }
    if (this.#options.service !== undefined) headers['idempotency-key'] = `${process.pid}-${this.#options.name}-${this.#sentCount}`
    return headers
  }

  #recordOutcome (status: number, lastChunk: Buffer | null, ms: number): void {
    const isComplete = this.#options.service !== undefined || lastChunk?.includes('[DONE]') === true
    if (status === 429 || status === 503) this.#refused += 1
    else if (status !== 200 || !isComplete) this.#failed += 1
    else {
      this.#answered += 1
      this.#totalTimes.recordValue(ms * microsecondsPerMs)
    }
  }
}

// Every event with text contains this key; the final event does not.
function countTokens (chunk: Buffer): number {
  let count = 0
  for (let index = chunk.indexOf('"content"'); index >= 0; index = chunk.indexOf('"content"', index + 9)) count += 1
  return count
}

function readPercentiles (histogram: hdr.Histogram): { p50: number, p99: number } {
  const readMs = (percentile: number): number => Math.round(histogram.getValueAtPercentile(percentile)) / microsecondsPerMs
  return { p50: readMs(50), p99: readMs(99) }
}
