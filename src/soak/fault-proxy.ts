/** A TCP proxy on loopback that misbehaves on command. */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { listen } from '../runtime/index.js'
import { resetSocket } from '../standin/index.js'
import { DelayLine } from './delay-line.js'
import type { ProxyMode } from './fault-draw.js'

/** How late a delaying proxy passes bytes on, ms. */
const delayMs = 120
/** What all connections of a narrow proxy share, bytes/ms: a document of some KB takes most of a second. */
const throttleBytesPerMs = 10

export class FaultProxy {
  #server: Server
  #sockets = new Set<Socket>()
  #mode: ProxyMode = 'pass'
  /** When a narrow proxy has carried all that came so far. */
  #freeAt = 0

  /** Connections are passed on to `host`, at the port that `port` gives then. */
  constructor (host: string, port: () => number) {
    this.#server = createServer(client => this.#connect(client, connect(port(), host)))
  }

  /** Begins to take connections, on any free port where `port` is 0; resolves with it. */
  listen (host: string, port = 0): Promise<number> {
    return listen(this.#server, { host, port })
  }

  /** Treats connections so from now on; those that stand are reset for `reset`, and after silence, as their bytes are lost. */
  setMode (mode: ProxyMode): void {
    const hasLostBytes = this.#mode === 'silent' || this.#mode === 'one-way'
    this.#mode = mode
    if (mode === 'reset' || hasLostBytes) for (const socket of this.#sockets) resetSocket(socket)
  }

  /** Resets all connections and takes no more until `listen`, as where a process has died. */
  halt (): void {
    this.#server.close()
    for (const socket of this.#sockets) resetSocket(socket)
  }

  /** Ends the proxy and its connections. */
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

  #relay (chunk: Buffer, to: Socket, line: DelayLine, isForth: boolean): void {
    if (this.#mode === 'silent' || (this.#mode === 'one-way' && !isForth)) return
    line.add(this.#computeDelay(chunk.length), () => { to.write(chunk) })
  }

  // How late bytes go on, ms.
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
