/** Calls over HTTP/1.1, as clients, runners and operators make them: each on a new connection, or on those of an agent. */
import { request as httpRequest } from 'node:http'

/** Resolves with the answer; status 0 where there was none. The caller gives up after `timeoutMs`, and after `gapMs` without a byte. */
export function call ({ host, port, method = 'GET', path, headers = {}, body = '', timeoutMs = 1000, gapMs = timeoutMs, agent = false }) {
  return new Promise(resolve => {
    const startedAt = Date.now()
    let hasGivenUp = false
    const finish = result => resolve({ status: 0, body: '', headers: {}, isWhole: false, hasGivenUp, ...result, ms: Date.now() - startedAt })
    const request = httpRequest({ host, port, method, path, agent, headers: { ...headers, 'content-length': Buffer.byteLength(body) } }, answer => {
      const chunks = []
      gap.refresh()
      answer.on('data', chunk => {
        gap.refresh()
        chunks.push(chunk)
      })
      answer.on('error', () => {})
      answer.on('close', () => finish({ status: answer.statusCode, headers: answer.headers, body: Buffer.concat(chunks).toString(), isWhole: answer.complete }))
    })
    const giveUp = () => {
      hasGivenUp = true
      request.destroy(new Error('the caller has given up'))
    }
    const timer = setTimeout(giveUp, timeoutMs)
    const gap = setTimeout(giveUp, gapMs)
    request.on('error', error => finish({ error: error.message }))
    request.on('close', () => {
      clearTimeout(timer)
      clearTimeout(gap)
    })
    request.end(body)
  })
}

/** The operator: sends an order to one registry after another until it is taken, as PROTOCOL.md describes. */
export class Operator {
  #list
  #next = 0

  /** `list`: gives the `host` and `port` of the registries that the operator knows. */
  constructor (list) { this.#list = list }

  /** Sends a configuration until it has an answer other than a failure; null after `withinMs`. */
  async put (config, withinMs = 15_000) {
    const until = Date.now() + withinMs
    const body = JSON.stringify(config)
    for (let pauseMs = 50; Date.now() < until; pauseMs = Math.min(1000, pauseMs * 2)) {
      const answer = await this.#ask('PUT', body)
      if (answer.status >= 200 && answer.status < 500 && answer.status !== 408 && answer.status !== 429) return answer
      await sleep(pauseMs)
    }
    return null
  }

  /** Reads the configuration in force; null if nobody says. */
  async read (withinMs = 5000) {
    const until = Date.now() + withinMs
    while (Date.now() < until) {
      const answer = await this.#ask('GET', '')
      if (answer.status === 200) return JSON.parse(answer.body)
      await sleep(100)
    }
    return null
  }

  async #ask (method, body) {
    const addresses = this.#list()
    this.#next += 1
    const { host, port } = addresses[this.#next % addresses.length]
    return await call({ host, port, method, path: '/api/config', headers: { 'content-type': 'application/json' }, body })
  }
}

export function sleep (ms) { return new Promise(resolve => setTimeout(resolve, ms)) }
