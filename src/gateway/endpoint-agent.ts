/**
 * Keep-alive connections to endpoints. Data that arrives on an idle connection
 * belongs to no request, so the connection is closed.
 */
import { Agent } from 'node:http'
import type { ClientRequest, ClientRequestArgs, IncomingMessage } from 'node:http'
import type { Duplex } from 'node:stream'
import { connect as connectTcp, Socket } from 'node:net'
import type { NetConnectOpts } from 'node:net'
import { watchReset } from '../protocol/index.js'
import type { Connector } from './gateway-dependencies.js'

/** Node's socket while an answer is still attached to it. */
interface AnsweredSocket extends Socket {
  _httpMessage?: ClientRequest & { res?: IncomingMessage }
}

/** Idle time-out where the endpoint gives none, ms: below the usual time-outs of servers. */
const defaultIdleMs = 4000
/** Share of the endpoint's own idle time-out after which a connection is closed; the rest is a margin for requests on their way. */
const idleTimeoutShare = 0.8

const idleHandlers = new WeakMap<Socket, () => void>()

export class EndpointAgent extends Agent {
  #connect: Connector

  constructor (connect: Connector = connectTcp) {
    super({ keepAlive: true, scheduling: 'lifo' })
    this.#connect = connect
  }

  /** True if there is an idle connection to the address. */
  isConnected (host: string, port: number): boolean {
    return (this.freeSockets[this.getName({ host, port })]?.length ?? 0) > 0
  }

  override createConnection (options: ClientRequestArgs): Duplex {
    const socket = this.#connect(options as NetConnectOpts)
    watchReset(socket)
    return socket
  }

  // Node calls these two when a connection becomes idle and when it is reused.

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
