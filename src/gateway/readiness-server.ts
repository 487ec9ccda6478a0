import type { Address } from '../config/index.js'
import { createStatusServer } from '../runtime/index.js'
import type { ClientIntake, ClientServer } from '../runtime/index.js'

/** Answers the load balancer's readiness checks, on an address of its own. */
export class ReadinessServer {
  #server: ClientServer

  constructor (path: string, intake: ClientIntake, isReady: () => boolean) {
    this.#server = createStatusServer({
      listener: 'readiness',
      intake,
      answer: (request, response) => {
        const isKnown = request.method === 'GET' && request.url?.split('?')[0] === path
        const status = !isKnown ? 404 : isReady() ? 200 : 503
        response.writeHead(status, { 'content-length': 0 })
        response.end()
      }
    })
  }

  /** Starts listening; resolves with the port. */
  listen (address: Address): Promise<number> { return this.#server.listen({ host: address.host, port: address.port }) }

  close (): void { this.#server.close() }
}
