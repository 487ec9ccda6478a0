import type { ListenOptions, Server } from 'node:net'

/** Starts a server; resolves with its port, and rejects where the address can't be bound. */
export function listen (server: Server, options: ListenOptions & { readonly port: number }): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(options, () => {
      const bound = server.address()
      resolve(typeof bound === 'object' && bound !== null ? bound.port : options.port)
    })
  })
}
