import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'

/** Event handlers of a datagram port. */
export interface DatagramHost {
  receive (bytes: Buffer, host: string, port: number): void
  noteFault (error: Error): void
}

/** A UDP socket. Errors of sending are ignored, as senders must expect loss anyway. */
export class DatagramPort {
  #socket: Socket = createSocket('udp4')

  constructor (host: DatagramHost) {
    this.#socket.on('message', (bytes, from) => host.receive(bytes, from.address, from.port))
    this.#socket.on('error', error => host.noteFault(error))
  }

  /** Binds the socket (0: to any free port) and resolves with the port; rejects where binding fails. */
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
