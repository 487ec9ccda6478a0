/** A small HTTP server that answers without reading bodies: readiness checks and metrics. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ClientIntake } from './client-intake.js'
import { ClientServer } from './client-server.js'

export interface StatusServerOptions {
  readonly listener: string
  readonly intake: ClientIntake
  /** Writes the whole answer. */
  answer (request: IncomingMessage, response: ServerResponse): void
}

/** Far more than a load balancer and those who collect metrics open. */
const maxConnections = 64
/** Time-outs of a whole request, and of a connection without one, ms. */
const requestTimeoutMs = 10_000
const maxHeaderBytes = 16 * 1024

export function createStatusServer ({ listener, intake, answer }: StatusServerOptions): ClientServer {
  return new ClientServer({
    http: { maxHeaderSize: maxHeaderBytes, requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs },
    maxConnections,
    listener,
    intake,
    serve: ({ request, response }) => {
      // A body would be read to its end after the answer, so the connection ends with the answer.
      if (hasBody(request)) response.setHeader('connection', 'close')
      answer(request, response)
    },
    composeMalformed: () => ''
  })
}

function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}
