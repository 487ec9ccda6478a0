import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { Address } from '../config/index.js'
import { listen } from '../runtime/index.js'

/** Answers the load balancer's readiness checks, on an address of its own. */
export class ReadinessServer {
  #server: Server

  constructor (path: string, isReady: () => boolean) {
    this.#server = createServer((request, response) => {
      const isKnown = request.method === 'GET' && request.url?.split('?')[0] === path
      const status = !isKnown ? 404 : isReady() ? 200 : 503
      response.writeHead(status, { 'content-length': 0 })
      response.end()
    })
  }

  /** Starts listening; resolves with the port. */
  listen (address: Address): Promise<number> {
    return listen(this.#server, { host: address.host, port: address.port })
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
