import type { Socket } from 'node:net'

/**
 * Resets a connection with a TCP RST, so that the peer sees an error instead of a normal end. A socket that was
 * already ended is destroyed instead: on such a socket Node's reset fails, leaves the descriptor open, and busy-loops at process exit.
 */
export function resetSocket (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}
