// A stand-in runner that speaks what PROTOCOL.md says: it registers, sends heartbeats, and runs requests.
import { createServer } from 'node:http'
import { createHash } from 'node:crypto'
import { callOnce } from './deployment.mjs'

export class Runner {
  /** Every request that it began to run. */
  runs = []
  #server
  #timer = null
  #seq = 0
  #call = 0

  /** `spread`: how far `workMs` varies, as a share of it. `serve(request, response, run)`: answers a request that runs; without it a short whole answer. */
  constructor ({ id, service, ip, zone, deployment, slots = 6, version = 'v1', workMs = 30, spread = 0, serve = null, fields = {} }) {
    Object.assign(this, { id, service, ip, zone, deployment, slots, version, workMs, spread, serve, fields })
    this.born = Date.now()
    this.#server = createServer({ keepAliveTimeout: 15_000 }, (request, response) => this.#receive(request, response))
  }

  async start () {
    await new Promise((resolve, reject) => { this.#server.once('error', reject); this.#server.listen(0, this.ip, resolve) })
    this.port = this.#server.address().port
    await this.beat()
    this.#timer = setInterval(() => void this.beat(), 1200)
  }

  get addr () { return `${this.ip}:${this.port}` }

  compose (state = 'ready') {
    return { service: this.service, addr: this.addr, zone: this.zone, version: this.version, slots: this.slots, state, coldLeftMs: 0, born: this.born, seq: ++this.#seq, ...this.fields }
  }

  async beat (state = 'ready') {
    const count = this.deployment.registries.length
    for (let i = 0; i < count; i++) {
      const { status } = await this.deployment.call((this.#call + i) % count, 'PUT', `/api/instances/${this.id}`, this.compose(state))
      if (status >= 200 && status < 300) return true
      this.#call += 1
    }
    return false
  }

  stop () {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #receive (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('end', () => {
      const id = String(request.headers['x-attempt-id'] ?? '')
      if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== this.id) {
        response.writeHead(421, { 'X-Attempt-Id': id, 'X-Not-Executed': '1', 'Content-Length': 0 })
        return response.end()
      }
      const run = { id, at: Date.now(), path: request.url, tenant: request.headers['x-tenant'], body: Buffer.concat(chunks).toString(), isCancelled: false, isDone: false }
      this.runs.push(run)
      response.on('close', () => { if (!response.writableFinished) run.isCancelled = true })
      if (this.serve !== null) return this.serve(request, response, run)
      setTimeout(() => this.answer(response, run), this.workMs * (1 + this.spread * (2 * Math.random() - 1)))
    })
  }

  head (run, extra = {}) { return { 'X-Attempt-Id': run.id, 'X-Response-Seal': seal(run.id), ...extra } }

  answer (response, run, status = 200) {
    const body = Buffer.from(`ran ${run.id} at ${this.id}`)
    run.isDone = true
    response.writeHead(status, this.head(run, { 'Content-Type': 'text/plain', 'Content-Length': body.length }))
    response.end(body)
  }
}

export function seal (id) { return createHash('sha256').update(id).digest('hex').slice(0, 24) }

export { callOnce }
