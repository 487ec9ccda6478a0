import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'

/** What a datagram port tells its owner. */
export interface DatagramHost {
  receive (bytes: Buffer, host: string, port: number): void
  noteFault (error: Error): void
}

/** A UDP port. Whatever is sent may be lost, so that a datagram which can't be sent is as good as lost. */
export class DatagramPort {
  #socket: Socket = createSocket('udp4')

  constructor (host: DatagramHost) {
    this.#socket.on('message', (bytes, from) => host.receive(bytes, from.address, from.port))
    this.#socket.on('error', error => host.noteFault(error))
  }

  /** Opens the port, any free one where `port` is 0; resolves with its number. Rejects where it can't be had. */
  open (host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(port, host, () => resolve(this.#socket.address().port))
    })
  }

  /** Must not be called after `close`. */
  send (bytes: Buffer, host: string, port: number): void { this.#socket.send(bytes, port, host, () => {}) }

  /** Must not be called twice. */
  close (): void { this.#socket.close() }
}
