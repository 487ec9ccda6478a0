import type { Socket } from 'node:net'

/**
 * Resets a connection, so that its peer sees that it broke. One that is being shut down is destroyed
 * instead: Node can't reset it, keeps its descriptor open, and spins when the process ends.
 */
export function resetSocket (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}
