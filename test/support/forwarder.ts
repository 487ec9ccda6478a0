/** A TCP forwarder that a test can cut. */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

export class Forwarder {
  #server: Server
  #sockets = new Set<Socket>()
  #isCut = false

  constructor (toHost: string, toPort: number) {
    this.#server = createServer(inner => {
      if (this.#isCut) return void inner.destroy()
      const outer = connect(toPort, toHost)
      for (const [one, other] of [[inner, outer], [outer, inner]]) {
        this.#sockets.add(one)
        one.on('error', () => {})
        one.on('close', () => {
          this.#sockets.delete(one)
          other.destroy()
        })
        one.pipe(other)
      }
    })
  }

  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => resolve())
    })
  }

  cut (): void {
    this.#isCut = true
    for (const socket of this.#sockets) socket.destroy()
  }

  heal (): void { this.#isCut = false }

  close (): void {
    this.cut()
    this.#server.close()
  }
}
