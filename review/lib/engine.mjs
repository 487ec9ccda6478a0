// A model runner: it runs `slots` streams at a time, the most urgent first, lets a few more wait, and rejects the rest.
import { Runner } from './runner.mjs'

export class Engine extends Runner {
  #running = 0
  #waiting = []

  /** `maxWaiting`: how many more it queues; `describe(run)`: events of a stream, the pause between them and the time to the first, ms. */
  constructor ({ maxWaiting = 16, describe, ...options }) {
    super({ ...options, fields: { stage: 'unified', models: [{ name: 'm', version: 1, adapters: [] }] } })
    this.maxWaiting = maxWaiting
    this.describe = describe
    this.runs = []
    /** Ids of all requests that were passed on to it, begun or not. */
    this.arrived = new Set()
    this.serve = (request, response, run) => {
      // Counted as run only once it begins.
      this.runs.splice(this.runs.indexOf(run), 1)
      this.arrived.add(run.id)
      run.rank = Number(request.headers['x-priority-class'] ?? 5)
      if (this.#running >= this.slots && this.#waiting.length >= this.maxWaiting) {
        response.writeHead(503, { 'X-Attempt-Id': run.id, 'X-Not-Executed': '1', 'Content-Length': 0 })
        return response.end()
      }
      this.#waiting.push({ response, run })
      response.on('close', () => this.#forget(run))
      this.#admit()
    }
  }

  #forget (run) {
    this.#waiting = this.#waiting.filter(one => one.run !== run)
  }

  #admit () {
    while (this.#running < this.slots && this.#waiting.length > 0) {
      this.#waiting.sort((a, b) => a.run.rank - b.run.rank)
      const { response, run } = this.#waiting.shift()
      this.#run(response, run)
    }
  }

  #run (response, run) {
    this.#running += 1
    run.at = Date.now()
    this.runs.push(run)
    const { events, pauseMs, firstMs } = this.describe(run)
    let made = 0
    let timer = setTimeout(() => {
      response.writeHead(200, this.head(run, { 'Content-Type': 'text/event-stream' }))
      timer = setInterval(() => {
        made += 1
        response.write(`id: ${made}\ndata: ${run.id} ${made}\n\n`)
        if (made < events) return
        run.isDone = true
        response.end()
        end()
      }, pauseMs)
    }, firstMs)
    let isEnded = false
    const end = () => {
      if (isEnded) return
      isEnded = true
      clearTimeout(timer)
      clearInterval(timer)
      this.#running -= 1
      this.#admit()
    }
    response.on('close', end)
  }
}
