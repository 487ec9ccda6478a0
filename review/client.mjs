// A client that keeps its connection for many requests, and moves on to another gateway after a failure.
import { Agent, request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

let count = 0

export class KeptClient {
  /** Every request: what was sent, and how it ended. */
  requests = []
  #deployment
  #gateway
  #agent = new Agent({ keepAlive: true, maxSockets: 1 })
  #isStopped = false

  /** `compose()`: path, headers and body of the next request; `pauseMs` between an answer and the next request. */
  constructor (deployment, gateway, compose, pauseMs = 20) {
    Object.assign(this, { compose, pauseMs })
    this.#deployment = deployment
    this.#gateway = gateway
  }

  async run () {
    while (!this.#isStopped) {
      const entry = await this.send()
      await sleep(entry.end === 'answered' ? this.pauseMs : 200)
      if (entry.end !== 'answered') this.#gateway = (this.#gateway + 1) % this.#deployment.gateways.length
    }
  }

  stop () { this.#isStopped = true }
  close () { this.#agent.destroy() }

  send () {
    const { method = 'POST', path, headers, body, timeoutMs } = this.compose()
    const id = `q${(++count).toString(36)}-${Math.random().toString(36).slice(2, 10)}`
    const { host, port } = this.#deployment.front(this.#gateway)
    const entry = { id, path, gateway: this.#gateway, at: Date.now(), status: 0, isKept: false, end: 'open' }
    this.requests.push(entry)
    return new Promise(resolve => {
      const done = end => {
        if (entry.end !== 'open') return
        clearTimeout(timer)
        entry.end = end
        entry.ms = Date.now() - entry.at
        resolve(entry)
      }
      const request = httpRequest({ host, port, method, path, agent: this.#agent, headers: { ...headers, 'X-Attempt-Id': id, 'X-Deadline-Ms': String(timeoutMs), 'Content-Length': body.length } }, response => {
        entry.status = response.statusCode
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('error', () => done('answer cut'))
        response.on('end', () => { entry.body = Buffer.concat(chunks).toString(); done(response.complete ? 'answered' : 'answer cut') })
        response.on('close', () => done('answer cut'))
      })
      const timer = setTimeout(() => { done('gave up'); request.destroy() }, timeoutMs)
      request.on('socket', () => { entry.isKept = request.reusedSocket })
      request.on('error', error => done(entry.status === 0 && error.code === 'ECONNREFUSED' ? 'refused connection' : 'closed'))
      request.end(body)
    })
  }
}
