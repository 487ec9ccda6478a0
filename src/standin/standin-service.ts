/** A stand-in for a plain HTTP service. It records the calls that it ran and serves the record at `/served`. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { StandinServiceSettings } from '../config/index.js'
import { listenOn, readBody, sendJson } from './http-tools.js'

/** A call that the service ran. */
export interface ServedCall {
  readonly path: string
  readonly key: string | null
  readonly body: string
}

/** Faults that can be injected, before or after the call is run. */
export type ServiceFault = 'none' | 'hang-after-run' | 'reset-before-run' | 'reset-after-run'

export class StandinService {
  readonly settings: StandinServiceSettings
  readonly served: ServedCall[] = []
  fault: ServiceFault = 'none'
  port = 0
  #server = createServer((request, response) => { void this.#serve(request, response) })

  constructor (settings: StandinServiceSettings) {
    this.settings = settings
  }

  async listen (): Promise<number> {
    this.port = await listenOn(this.#server, this.settings.host, this.settings.port)
    return this.port
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      if (request.url === '/served') return sendJson(response, 200, this.served)
      if (this.fault === 'reset-before-run') return void request.socket.destroy()
      await this.#run(request, response)
    } catch {
      response.destroy()
    }
  }

  async #run (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readBody(request)).toString()
    const key = request.headers['idempotency-key']
    const call = { path: request.url ?? '', key: typeof key === 'string' ? key : null, body }
    this.served.push(call)
    if (this.settings.delayMs > 0) await sleep(this.settings.delayMs)
    if (this.fault === 'reset-after-run') return void request.socket.destroy()
    if (this.fault === 'hang-after-run') return
    sendJson(response, 200, { ok: true, number: this.served.length, path: call.path })
  }
}
