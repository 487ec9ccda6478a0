import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { Address } from '../config/index.js'

/** Tells a balancer whether this box may be given callers, on an address of its own. */
export class ReadyDoor {
  #server: Server

  constructor (path: string, isReady: () => boolean) {
    this.#server = createServer((request, response) => {
      const isKnown = request.method === 'GET' && request.url?.split('?')[0] === path
      const status = !isKnown ? 404 : isReady() ? 200 : 503
      response.writeHead(status, { 'content-length': 0 })
      response.end()
    })
  }

  listen (address: Address): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(address.port, address.host, () => {
        const bound = this.#server.address()
        resolve(typeof bound === 'object' && bound !== null ? bound.port : address.port)
      })
    })
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
