/**
 * Kept connections to endpoints. A connection at rest must be silent: whatever
 * comes on one belongs to no request, so that it can't be trusted any more.
 */
import { Agent } from 'node:http'
import type { ClientRequest, ClientRequestArgs, IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import { Socket } from 'node:net'

/** Node's socket while an answer is still attached to it. */
interface AnsweredSocket extends Socket {
  _httpMessage?: ClientRequest & { res?: IncomingMessage }
}

/** How long a connection rests where the endpoint names no time, ms: below what servers usually allow. */
const defaultIdleMs = 4000
/** Part of the time that an endpoint names after which a connection is not used again: the rest is for what is under way. */
const idleTimeoutShare = 0.8

const idleHandlers = new WeakMap<Socket, () => void>()
const resetSockets = new WeakSet<Socket>()

/**
 * True where the peer reset the connection, although Node took it for an end. It
 * does where the reset follows right upon the last bytes: an answer without a
 * length would look whole.
 */
export function wasReset (socket: Socket): boolean { return resetSockets.has(socket) }

export class EndpointAgent extends Agent {
  constructor () {
    super({ keepAlive: true, scheduling: 'lifo' })
  }

  /** True where a connection to an address is open and at rest. */
  isConnected (host: string, port: number): boolean {
    return (this.freeSockets[this.getName({ host, port })]?.length ?? 0) > 0
  }

  override createConnection (options: ClientRequestArgs, callback?: (error: Error | null, stream: Duplex) => void): Duplex | null | undefined {
    const stream = super.createConnection(options, callback)
    if (stream instanceof Socket) watchReset(stream)
    return stream
  }

  // These two are Node's hooks around a connection's rest.

  override keepSocketAlive (socket: AnsweredSocket): boolean {
    const destroy = (): void => { socket.destroy() }
    idleHandlers.set(socket, destroy)
    socket.on('data', destroy)
    socket.setTimeout(readIdleMs(socket), destroy)
    return true
  }

  override reuseSocket (socket: Socket, request: ClientRequest): void {
    super.reuseSocket(socket, request)
    const handler = idleHandlers.get(socket)
    if (handler === undefined) return
    idleHandlers.delete(socket)
    socket.removeListener('data', handler)
    socket.removeListener('timeout', handler)
    socket.setTimeout(0)
  }
}

function readIdleMs (socket: AnsweredSocket): number {
  const header = socket._httpMessage?.res?.headers['keep-alive']
  const seconds = /timeout=(\d+)/.exec(String(header ?? ''))?.[1]
  return seconds === undefined ? defaultIdleMs : Number(seconds) * 1000 * idleTimeoutShare
}

// The system no longer knows the peer of a connection that was reset. Must look
// before Node closes its own side, and the peer must not have been asked before,
// as Node remembers it.
function watchReset (socket: Socket): void {
  socket.prependListener('end', () => {
    if (socket.remoteAddress === undefined) resetSockets.add(socket)
  })
}
