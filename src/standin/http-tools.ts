import type { IncomingMessage, Server, ServerResponse } from 'node:http'

/** Reads a whole body; rejects where the sender leaves or it is too large. */
export async function readBody (request: IncomingMessage, maxBytes = 16 * 2 ** 20): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maxBytes) throw new RangeError('the body is too large')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/** Answers with JSON. */
export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}

/** Listens; resolves with the port. */
export function listenOn (server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      const address = server.address()
      resolve(typeof address === 'object' && address !== null ? address.port : port)
    })
  })
}
