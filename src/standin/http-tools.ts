import type { IncomingMessage, Server, ServerResponse } from 'node:http'

/** Reads a whole body. Rejects where the sender aborts or the body is larger than `maxBytes`. */
export async function readBody (request: IncomingMessage, maxBytes = 16 * 2 ** 20): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maxBytes) throw new RangeError('request body is too large')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}

/** Starts listening. Resolves with the actual port, rejects where the address can't be bound. */
export function listenOn (server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      const address = server.address()
      resolve(typeof address === 'object' && address !== null ? address.port : port)
    })
  })
}
