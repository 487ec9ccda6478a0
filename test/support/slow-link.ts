/**
 * A TCP forwarder that carries no more than a narrow link would towards the
 * side that connects. All its connections share it, and it counts what it
 * carries.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { listen } from '../../src/runtime/index.js'

/** Bytes on their way through the link. */
interface Waiting {
  readonly to: Socket
  readonly bytes: Buffer
}

/** How often a part of what waits goes on, ms. */
const stepMs = 5

export class SlowLink {
  #server: Server
  #sockets = new Set<Socket>()
  #waiting: Waiting[] = []
  #timer: NodeJS.Timeout
  #carried = 0

  constructor (toHost: string, toPort: number, bytesPerMs: number) {
    this.#server = createServer(inner => this.#join(inner, connect(toPort, toHost)))
    this.#timer = setInterval(() => this.#carry(bytesPerMs * stepMs), stepMs)
  }

  /** Bytes that were carried so far. */
  get carried (): number { return this.#carried }
  /** True while nothing is on its way. */
  get isIdle (): boolean { return this.#waiting.length === 0 }

  async listen (host: string, port: number): Promise<void> { await listen(this.#server, { host, port }) }

  close (): void {
    clearInterval(this.#timer)
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #join (inner: Socket, outer: Socket): void {
    for (const [one, other] of [[inner, outer], [outer, inner]]) {
      this.#sockets.add(one)
      one.setNoDelay(true)
      one.on('error', () => {})
      one.on('close', () => {
        this.#sockets.delete(one)
        other.destroy()
      })
    }
    inner.pipe(outer)
    outer.on('data', bytes => this.#waiting.push({ to: inner, bytes }))
  }

  #carry (most: number): void {
    let left = most
    while (left > 0 && this.#waiting.length > 0) {
      const { to, bytes } = this.#waiting[0]
      const part = bytes.subarray(0, left)
      to.write(part)
      left -= part.length
      this.#carried += part.length
      if (part.length === bytes.length) this.#waiting.shift()
      else this.#waiting[0] = { to, bytes: bytes.subarray(part.length) }
    }
  }
}
