/**
 * A stand-in endpoint with large answers, which ends a connection whose bytes stay unread. The content of an answer
 * follows from its path: `KIND-BYTES`, KIND being `plain` (with a length), `chunked` or `events`.
 */
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { listenOn } from './http-tools.js'
import type { EndpointHeaders } from './standin-endpoint.js'

const pieceBytes = 64 * 1024
const eventBytes = 4 * 1024

function * composePieces (path: string): Generator<Buffer> {
  const [, kind, size] = /(plain|chunked|events)-(\d+)/.exec(path) ?? []
  const step = kind === 'events' ? eventBytes : pieceBytes
  for (let at = 0, id = 1; at < Number(size); at += step, id++) {
    const length = Math.min(step, Number(size) - at)
    yield kind === 'events' ? Buffer.from(`id: ${id}\ndata: `.padEnd(length - 2, 'x') + '\n\n') : Buffer.alloc(length, id % 251)
  }
}

/** The digest of the whole answer to a path. */
export function digestAnswer (path: string): string {
  const hash = createHash('sha1')
  for (const piece of composePieces(path)) hash.update(piece)
  return hash.digest('hex')
}

/** `breakAt`: number of bytes after which the next answer of any endpoint with this plan breaks off; null for whole answers. */
export interface BreakPlan {
  breakAt: number | null
}

export class BulkEndpoint {
  readonly id: string
  port = 0
  /** Paths of the requests that it ran. */
  readonly runs: string[] = []
  /** Connections that it ended as their bytes stayed unread. */
  endedUnread = 0
  #headers: EndpointHeaders
  #unreadMs: number
  #plan: BreakPlan
  #server: Server

  /** `unreadMs`: time after which it ends a connection whose bytes stay unread. */
  constructor (id: string, headers: EndpointHeaders, unreadMs: number, plan: BreakPlan) {
    this.#plan = plan
    this.id = id
    this.#headers = headers
    this.#unreadMs = unreadMs
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
  }

  async listen (host: string): Promise<void> { this.port = await listenOn(this.#server, host, 0) }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.resume()
    const path = request.url ?? ''
    this.runs.push(path)
    const { breakAt } = this.#plan
    this.#plan.breakAt = null
    const length = /plain-(\d+)/.exec(path)?.[1]
    const requestId = String(request.headers[this.#headers.requestId] ?? '')
    response.writeHead(200, { [this.#headers.requestId]: requestId, ...(length === undefined ? {} : { 'content-length': length }) })
    let sent = 0
    for (const piece of composePieces(path)) {
      if (breakAt !== null && sent >= breakAt) return void response.destroy()
      sent += piece.length
      if (response.write(piece)) continue
      await this.#awaitRead(response)
      if (response.destroyed) return
    }
    response.end()
  }

  #awaitRead (response: ServerResponse): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        response.off('drain', finish).off('close', finish)
        resolve()
      }
      const timer = setTimeout(() => {
        this.endedUnread += 1
        response.destroy()
      }, this.#unreadMs)
      response.on('drain', finish).on('close', finish)
    })
  }
}
