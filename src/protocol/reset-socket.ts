/** Resets of connections, sent and received. */
import type { Socket } from 'node:net'

const watchedSockets = new WeakSet<Socket>()
const resetSockets = new WeakSet<Socket>()

/**
 * Resets a connection with a TCP RST, so that the peer sees an error instead of a normal end. A socket that was
 * already ended is destroyed instead: on such a socket Node's reset fails, leaves the descriptor open, and busy-loops at process exit.
 */
export function resetSocket (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}

/**
 * True if the peer reset the connection although Node reported a normal end. Node does so if the reset directly follows
 * the last bytes; an answer without a length would then look complete. Only for sockets passed to `watchReset`.
 */
export function wasReset (socket: Socket): boolean { return resetSockets.has(socket) }

/**
 * Watches for the end of a connection, so that `wasReset` can tell its kind. After a reset the system no longer reports the
 * peer's address. This must be checked before Node closes its own side, and `remoteAddress` must not have been read
 * before, because Node caches it.
 */
export function watchReset (socket: Socket): void {
  if (watchedSockets.has(socket)) return
  watchedSockets.add(socket)
  socket.prependListener('end', () => {
    if (socket.remoteAddress === undefined) resetSockets.add(socket)
  })
}
