/** A stand-in for a plain HTTP service. It records the calls that it ran and serves the record at `/served`. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { StandinServiceSettings } from '../config/index.js'
import { ClientServer } from '../runtime/index.js'
import type { ClientIntake } from '../runtime/index.js'
import { createIntake, readBody, sendJson } from './http-tools.js'

/** A call that the service ran. */
export interface ServedCall {
  readonly path: string
  readonly key: string | null
  readonly body: string
}

/** Faults that can be injected, before or after the call is run. */
export type ServiceFault = 'none' | 'hang-after-run' | 'reset-before-run' | 'reset-after-run'

const maxConnections = 4000
/** Calls that are kept, and characters of the body of each. */
const maxRecords = 10_000
const maxRecordedBody = 1000

export class StandinService {
  readonly settings: StandinServiceSettings
  readonly served: ServedCall[] = []
  fault: ServiceFault = 'none'
  port = 0
  #server: ClientServer
  #intake: ClientIntake
  #servedCount = 0

  constructor (settings: StandinServiceSettings, intake = createIntake()) {
    this.settings = settings
    this.#intake = intake
    this.#server = new ClientServer({ listener: 'service', intake, maxConnections, serve: ({ request, response }) => { void this.#serve(request, response) }, composeMalformed: () => '' })
  }

  async listen (): Promise<number> {
    this.port = await this.#server.listen({ host: this.settings.host, port: this.settings.port })
    return this.port
  }

  close (): void {
    this.#intake.close()
    this.#server.close()
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

  // Keeps the newest calls, and the beginning of a long body.
  #record (call: ServedCall): void {
    this.#servedCount += 1
    this.served.push({ ...call, body: call.body.slice(0, maxRecordedBody) })
    if (this.served.length > maxRecords) this.served.shift()
  }

  async #run (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readBody(request, this.#intake)).toString()
    const key = request.headers['idempotency-key']
    const call = { path: request.url ?? '', key: typeof key === 'string' ? key : null, body }
    this.#record(call)
    if (this.settings.delayMs > 0) await sleep(this.settings.delayMs)
    if (this.fault === 'reset-after-run') return void request.socket.destroy()
    if (this.fault === 'hang-after-run') return
    sendJson(response, 200, { ok: true, number: this.#servedCount, path: call.path })
  }
}
