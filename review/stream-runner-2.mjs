/**
 * A model runner, as PROTOCOL.md describes it: answers with a stream of numbered events, works on `slots` requests at a
 * time, queues `queue` more and states of the rest that they did not run. It ends its work at the deadline that it was given
 * and when its caller closes the connection.
 */
import { Runner } from './runner-2.mjs'

export class StreamRunner extends Runner {
  slots = 2
  queue = 0
  /** Until the first event, and between events, ms. */
  firstMs = 30
  eventMs = 200
  /** Events of a request: its tokens out by this. */
  stride = 5
  /** Requests at work now. */
  working = new Set()
  #waiting = []

  constructor (options) {
    super(options)
    this.intercept = exchange => {
      if (exchange.request.url === '/api/report') this.#report(exchange)
      else if (this.working.size < this.slots) this.#work(exchange)
      else if (this.#waiting.length < this.queue) this.#waiting.push(exchange)
      else this.refuse(exchange, 503)
      return true
    }
  }

  #report ({ response }) {
    const text = JSON.stringify({ stage: 'unified', models: [{ name: 'm', version: 1, adapters: [] }], utilization: false, seq: 1, queued: this.#waiting.length, active: this.working.size, kvUsed: 0, kvTotal: 638949, handles: 0 })
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
  }

  #work (exchange) {
    const { request, response, attempt, body } = exchange
    const [, maxTokens = 50] = String(request.headers['x-token-usage'] ?? '100,50').split(',').map(Number)
    const events = Math.max(1, Math.ceil(maxTokens / this.stride))
    const run = { at: Date.now(), attempt, path: request.url, body, tenant: request.headers['x-tenant'] ?? null, lastEvent: request.headers['last-event-id'] ?? null, endedAt: null, events: 0, isWhole: false }
    this.runs.push(run)
    this.working.add(run)
    const end = () => {
      if (run.endedAt !== null) return
      run.endedAt = Date.now()
      clearTimeout(deadline)
      this.working.delete(run)
      const next = this.#waiting.shift()
      if (next !== undefined && !next.response.destroyed) this.#work(next)
    }
    const deadline = setTimeout(() => response.destroy(), Number(request.headers['x-deadline-ms'] ?? 15_000))
    response.on('close', end)
    let next = Number(run.lastEvent ?? 0) + 1
    const write = () => {
      if (response.destroyed) return
      if (!response.headersSent) response.writeHead(200, { 'x-attempt-id': attempt, 'x-response-seal': `${this.id}.${attempt}`, 'x-weight-versions': '1', 'content-type': 'text/event-stream' })
      response.write(`id: ${next}\ndata: ${attempt} ${next}\n\n`)
      run.events += 1
      next += 1
      if (next <= events) return void setTimeout(write, this.eventMs)
      run.isWhole = true
      response.end()
      end()
    }
    setTimeout(write, this.firstMs)
  }
}
