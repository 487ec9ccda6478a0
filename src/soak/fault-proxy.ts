/** A TCP proxy on loopback that misbehaves on command. */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { listen } from '../runtime/index.js'
import type { ProxyMode } from './fault-draw.js'

/** How late a delaying proxy passes bytes on, ms. */
const delayMs = 120

export class FaultProxy {
  #server: Server
  #sockets = new Set<Socket>()
  #mode: ProxyMode = 'pass'

  /** Connections are passed on to `host`, at the port that `port` gives then. */
  constructor (host: string, port: () => number) {
    this.#server = createServer(inner => this.#join(inner, connect(port(), host)))
  }

  /** Begins to take connections, on any free port where `port` is 0; resolves with it. */
  listen (host: string, port = 0): Promise<number> {
    return listen(this.#server, { host, port })
  }

  /** Treats connections so from now on; those that stand are reset for `reset`, and after silence, as their bytes are lost. */
  set (mode: ProxyMode): void {
    const isOver = this.#mode === 'silent' || this.#mode === 'one-way'
    this.#mode = mode
    if (mode === 'reset' || isOver) for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  /** Ends the proxy and its connections. */
  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #join (inner: Socket, outer: Socket): void {
    if (this.#mode === 'reset') {
      outer.destroy()
      inner.resetAndDestroy()
      return
    }
    this.#pass(inner, outer, true)
    this.#pass(outer, inner, false)
  }

  #pass (from: Socket, to: Socket, isForth: boolean): void {
    this.#sockets.add(from)
    from.setNoDelay(true)
    from.on('error', () => {})
    from.on('close', () => {
      this.#sockets.delete(from)
      if (this.#mode === 'pass') to.destroySoon()
      else to.destroy()
    })
    from.on('data', chunk => this.#relay(chunk, to, isForth))
    from.on('end', () => setTimeout(() => to.end(), this.#mode === 'delay' ? delayMs : 0))
  }

  #relay (chunk: Buffer, to: Socket, isForth: boolean): void {
    switch (this.#mode) {
      case 'pass':
      case 'reset': return void to.write(chunk)
      case 'delay': return void setTimeout(() => to.write(chunk), delayMs)
      case 'one-way': return void (isForth && to.write(chunk))
      case 'silent':
    }
  }
}
