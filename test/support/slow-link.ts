/**
 * A TCP proxy that limits the bandwidth from the upstream host to its clients.
 * All connections share the limit, and the proxy counts the bytes it forwards.
 */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { listen } from '../../src/runtime/index.js'

/** Bytes that wait to be forwarded. */
interface QueuedBytes {
  readonly destination: Socket
  readonly bytes: Buffer
}

/** How often queued bytes are forwarded, ms. */
const tickMs = 5

export class SlowLink {
  #server: Server
  #sockets = new Set<Socket>()
  #queue: QueuedBytes[] = []
  #timer: NodeJS.Timeout
  #forwardedBytes = 0

  constructor (toHost: string, toPort: number, bytesPerMs: number) {
    this.#server = createServer(client => this.#connectPair(client, connect(toPort, toHost)))
    this.#timer = setInterval(() => this.#forward(bytesPerMs * tickMs), tickMs)
  }

  /** Bytes forwarded to clients so far. */
  get forwardedBytes (): number { return this.#forwardedBytes }
  /** True while no bytes are queued. */
  get isIdle (): boolean { return this.#queue.length === 0 }

  async listen (host: string, port: number): Promise<void> { await listen(this.#server, { host, port }) }

  close (): void {
    clearInterval(this.#timer)
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #connectPair (client: Socket, upstream: Socket): void {
    for (const [one, other] of [[client, upstream], [upstream, client]]) {
      this.#sockets.add(one)
      one.setNoDelay(true)
      one.on('error', () => {})
      one.on('close', () => {
        this.#sockets.delete(one)
        other.destroy()
      })
    }
    client.pipe(upstream)
    upstream.on('data', bytes => this.#queue.push({ destination: client, bytes }))
  }

  #forward (maxBytes: number): void {
    let remainingBytes = maxBytes
    while (remainingBytes > 0 && this.#queue.length > 0) {
      const { destination, bytes } = this.#queue[0]
      const chunk = bytes.subarray(0, remainingBytes)
      destination.write(chunk)
      remainingBytes -= chunk.length
      this.#forwardedBytes += chunk.length
      if (chunk.length === bytes.length) this.#queue.shift()
      else this.#queue[0] = { destination, bytes: bytes.subarray(chunk.length) }
    }
  }
}
