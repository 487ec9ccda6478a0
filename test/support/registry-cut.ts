/** Forwards the links of gateways to one registry, and cuts those of chosen gateways: they get no byte through until `heal`. */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { listen } from '../../src/runtime/index.js'

export class RegistryCut {
  #server: Server
  #cut: readonly string[] = []
  /** Gateway of each connection; null for connections of other boxes. */
  #owners = new Map<Socket, string | null>()

  constructor (host: string, port: number) {
    this.#server = createServer(inbound => this.#forward(inbound, connect(port, host)))
  }

  async listen (host: string, port: number): Promise<void> { await listen(this.#server, { host, port }) }

  /** Closes the connections of these gateways, and each new one once it names one of them. */
  cut (gateways: readonly string[]): void {
    this.#cut = gateways
    for (const [socket, owner] of this.#owners) if (owner !== null && gateways.includes(owner)) socket.destroy()
  }

  heal (): void { this.#cut = [] }

  close (): void {
    this.#server.close()
    for (const socket of this.#owners.keys()) socket.destroy()
  }

  #forward (inbound: Socket, outbound: Socket): void {
    this.#owners.set(inbound, null)
    inbound.once('data', (first: Buffer) => {
      const owner = /gateway-\d+/.exec(first.toString('latin1'))?.[0] ?? null
      this.#owners.set(inbound, owner)
      if (owner !== null && this.#cut.includes(owner)) return void inbound.destroy()
      outbound.write(first)
      inbound.pipe(outbound)
    })
    outbound.pipe(inbound)
    for (const [from, to] of [[inbound, outbound], [outbound, inbound]]) {
      from.on('error', () => {})
      from.on('close', () => {
        this.#owners.delete(inbound)
        to.destroy()
      })
    }
  }
}
