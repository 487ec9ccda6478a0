/**
 * Kept connections to endpoints. A connection at rest must be silent: whatever
 * comes on one belongs to no request, so that it can't be trusted any more.
 */
import { Agent } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Node's socket while an answer is still attached to it. */
interface AnsweredSocket extends Socket {
  _httpMessage?: ClientRequest & { res?: IncomingMessage }
}

/** How long a connection rests where the endpoint names no time, ms: below what servers usually allow. */
const defaultRestMs = 4000
/** Part of the time that an endpoint names after which a connection is not used again: the rest is for what is under way. */
const restShare = 0.8

const restHandlers = new WeakMap<Socket, () => void>()

export class EndpointAgent extends Agent {
  constructor () {
    super({ keepAlive: true, scheduling: 'lifo' })
  }

  // These two are Node's hooks around a connection's rest.

  override keepSocketAlive (socket: AnsweredSocket): boolean {
    const end = (): void => { socket.destroy() }
    restHandlers.set(socket, end)
    socket.on('data', end)
    socket.setTimeout(readRestMs(socket), end)
    return true
  }

  override reuseSocket (socket: Socket): void {
    const end = restHandlers.get(socket)
    if (end === undefined) return
    restHandlers.delete(socket)
    socket.removeListener('data', end)
    socket.removeListener('timeout', end)
    socket.setTimeout(0)
  }
}

function readRestMs (socket: AnsweredSocket): number {
  const header = socket._httpMessage?.res?.headers['keep-alive']
  const seconds = /timeout=(\d+)/.exec(String(header ?? ''))?.[1]
  return seconds === undefined ? defaultRestMs : Number(seconds) * 1000 * restShare
}
