/** A TCP proxy on loopback that injects network faults. */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { listen } from '../runtime/index.js'
import { resetSocket } from '../standin/index.js'
import { DelayLine } from './delay-line.js'
import type { ProxyMode } from './fault-draw.js'

/** Delay of bytes in mode `delay`, ms. */
const delayMs = 120
/** Rate shared by all connections in mode `throttle`, bytes/ms: a document of some KB takes most of a second. */
const throttleBytesPerMs = 10

export class FaultProxy {
  #server: Server
  #sockets = new Set<Socket>()
  #mode: ProxyMode = 'pass'
  /** When all bytes received so far will have been forwarded at the throttled rate. */
  #freeAt = 0

  /** Forwards connections to `host`; `port` is called for each connection. */
  constructor (host: string, port: () => number) {
    this.#server = createServer(client => this.#connect(client, connect(port(), host)))
  }

  /** Starts listening, on any free port if `port` is 0; resolves with the port. */
  listen (host: string, port = 0): Promise<number> {
    return listen(this.#server, { host, port })
  }

  /** Sets how connections are treated from now on. Open connections are reset for `reset`, and after `silent` and `one-way`, as bytes of theirs are lost. */
  setMode (mode: ProxyMode): void {
    const hasLostBytes = this.#mode === 'silent' || this.#mode === 'one-way'
    this.#mode = mode
    if (mode === 'reset' || hasLostBytes) for (const socket of this.#sockets) resetSocket(socket)
  }

  /** Resets all connections and accepts no more until `listen`, like a crashed process. */
  halt (): void {
    this.#server.close()
    for (const socket of this.#sockets) resetSocket(socket)
  }

  /** Refuses new connections until `listen`; open ones live on. */
  refuse (): void { this.#server.close() }

  /** Closes the proxy and its connections. */
  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #connect (client: Socket, upstream: Socket): void {
    if (this.#mode === 'reset') {
      upstream.destroy()
      resetSocket(client)
      return
    }
    this.#forward(client, upstream, true)
    this.#forward(upstream, client, false)
  }

  #forward (from: Socket, to: Socket, isToUpstream: boolean): void {
    const line = new DelayLine()
    this.#sockets.add(from)
    from.setNoDelay(true)
    from.on('error', () => {})
    from.on('close', () => {
      this.#sockets.delete(from)
      if (this.#mode === 'pass') return line.add(0, () => to.destroySoon())
      line.close()
      to.destroy()
    })
    from.on('data', chunk => this.#relay(chunk, to, line, isToUpstream))
    from.on('end', () => line.add(this.#computeDelay(0), () => to.end()))
  }

  #relay (chunk: Buffer, to: Socket, line: DelayLine, isToUpstream: boolean): void {
    if (this.#mode === 'silent' || (this.#mode === 'one-way' && !isToUpstream)) return
    line.add(this.#computeDelay(chunk.length), () => { to.write(chunk) })
  }

  // Delay until bytes are forwarded, ms.
  #computeDelay (bytes: number): number {
    switch (this.#mode) {
      case 'delay': return delayMs
      case 'throttle': return this.#reserveBandwidth(bytes)
      case 'pass':
      case 'reset':
      case 'one-way':
      case 'silent': return 0
    }
  }

  #reserveBandwidth (bytes: number): number {
    const now = performance.now()
    this.#freeAt = Math.max(this.#freeAt, now) + bytes / throttleBytesPerMs
    return this.#freeAt - now
  }
}
