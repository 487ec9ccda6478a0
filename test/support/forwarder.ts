/** A TCP proxy that can simulate a network partition. */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

export class Forwarder {
  #server: Server
  #sockets = new Set<Socket>()
  #isPartitioned = false

  constructor (toHost: string, toPort: number) {
    this.#server = createServer(inbound => {
      if (this.#isPartitioned) return void inbound.destroy()
      const outbound = connect(toPort, toHost)
      for (const [from, to] of [[inbound, outbound], [outbound, inbound]]) {
        this.#sockets.add(from)
        from.on('error', () => {})
        from.on('close', () => {
          this.#sockets.delete(from)
          to.destroy()
        })
        from.pipe(to)
      }
    })
  }

  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => resolve())
    })
  }

  /** Closes all connections and refuses new ones until `heal` is called. */
  partition (): void {
    this.#isPartitioned = true
    for (const socket of this.#sockets) socket.destroy()
  }

  heal (): void { this.#isPartitioned = false }

  close (): void {
    this.partition()
    this.#server.close()
  }
}
