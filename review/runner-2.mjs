/**
 * A runner of a plain service, as PROTOCOL.md describes it: answers with its signature, the request's id and a body that
 * names the request; registers itself at a registry every `heartbeatMs`. It records each request that it runs.
 */
import { createServer } from 'node:http'
import { call } from './calls-2.mjs'
import { heartbeatMs } from './deployment-2.mjs'

export class Runner {
  id
  service
  zone
  host
  port = 0
  state = 'ready'
  slots = 6
  /** Time that a request takes, ms. */
  workMs = 20
  /** Each request that began to run, and when. */
  runs = []
  /** Called for each request before it runs; true if it was handled. */
  intercept = () => false
  #version = 'v1'
  #sequence = 0
  #active = 0
  #timer = null
  #server
  #list
  #next = 0
  #born = Date.now()

  /** `list`: gives the `host` and `port` of the registries that runners know. */
  constructor ({ id, service, zone, host, list }) {
    Object.assign(this, { id, service, zone, host })
    this.#list = list
    this.#server = createServer((request, response) => this.#serve(request, response))
    this.#server.keepAliveTimeout = 15_000
  }

  get active () { return this.#active }

  async start () {
    await new Promise((resolve, reject) => this.#server.once('error', reject).listen(this.port, this.host, resolve))
    this.port = this.#server.address().port
    this.#timer = setInterval(() => { void this.beat() }, heartbeatMs)
    void this.beat()
  }

  close () {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Sends a heartbeat to one registry after another until one acknowledges it; resolves with the one that did. */
  async beat () {
    this.#sequence += 1
    const { service, host, port, zone, slots, state } = this
    const body = JSON.stringify({ service, addr: `${host}:${port}`, zone, version: this.#version, slots, state, coldLeftMs: 0, seq: this.#sequence, born: this.#born })
    return await this.#tell('PUT', body)
  }

  /** Says that it leaves. */
  async leave () {
    clearInterval(this.#timer)
    return await this.#tell('DELETE', '')
  }

  async #tell (method, body) {
    const addresses = this.#list()
    for (let i = 0; i < addresses.length; i++) {
      const { host, port } = addresses[this.#next % addresses.length]
      const { status } = await call({ host, port, method, path: `/api/instances/${this.id}`, headers: { 'content-type': 'application/json' }, body })
      if (status >= 200 && status < 300) return host
      this.#next += 1
    }
    return null
  }

  #serve (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('end', () => this.#take({ request, response, body: Buffer.concat(chunks).toString(), attempt: request.headers['x-attempt-id'] ?? '' }))
  }

  #take (exchange) {
    const { request, response, attempt } = exchange
    if (request.url === '/healthz') return void response.writeHead(this.state === 'ready' ? 200 : 503, { 'x-instance-id': this.id, 'content-length': 0 }).end()
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return this.refuse(exchange, 421)
    if (attempt === '') return this.refuse(exchange, 400)
    if (this.intercept(exchange)) return
    if (this.#active >= this.slots) return this.refuse(exchange, 503)
    this.run(exchange)
    void response
  }

  /** Runs a request and answers it. */
  run (exchange, answer = () => this.answer(exchange)) {
    const { request, response, attempt, body } = exchange
    this.runs.push({ at: Date.now(), attempt, path: request.url, body, tenant: request.headers['x-tenant'] ?? null, connection: `${request.socket.remoteAddress}:${request.socket.remotePort}` })
    this.#active += 1
    setTimeout(() => {
      this.#active -= 1
      if (!response.destroyed) answer()
    }, this.workMs)
  }

  /** States that a request did not run. */
  refuse ({ response, attempt }, status) {
    response.writeHead(status, { 'x-attempt-id': attempt, 'x-not-executed': '1', 'content-length': 0 })
    response.end()
  }

  /** The whole answer to a request that ran. */
  answer ({ request, response, attempt, body }) {
    const text = JSON.stringify({ ran: this.id, service: this.service, attempt, path: request.url, body })
    response.writeHead(200, { 'x-attempt-id': attempt, 'x-response-seal': `${this.id}.${attempt}`, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }
}
