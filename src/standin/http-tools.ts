import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { ClientIntake, readBody as collectBody } from '../runtime/index.js'

/** Memory for the clients of a stand-in that shares none with others, bytes. */
const budgetBytes = 128 * 2 ** 20

/** What a stand-in has for its clients where its process has no account of its own. */
export function createIntake (): ClientIntake { return new ClientIntake(budgetBytes, null) }

/** Reads a whole body. Rejects where the sender aborts or the body is larger than `maxBytes`. */
export async function readBody (request: IncomingMessage, { memory }: ClientIntake, maxBytes = 16 * 2 ** 20): Promise<Buffer> {
  const outcome = await collectBody(request, maxBytes, memory)
  if (outcome.type !== 'whole') throw new RangeError(`the request body is ${outcome.type}`)
  outcome.hold.release()
  return outcome.body
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
