/** An HTTP server whose clients can't take more connections and memory than it has for them. */
import { createServer } from 'node:http'
import type { Server, ServerOptions } from 'node:http'
import { Server as SocketServer } from 'node:net'
import type { ListenOptions, Socket } from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { listen } from '../listen.js'
import { ClientConnection } from './client-connection.js'
import type { HttpExchange } from './client-connection.js'
import type { ClientIntake } from './client-intake.js'
import { chooseClosed } from './refusal-choice.js'

export interface ClientServerOptions {
  /** Options of Node's server. */
  readonly http?: ServerOptions
  readonly maxConnections: number
  /** The name of this listener in logs and metrics. */
  readonly listener: string
  readonly intake: ClientIntake
  /** Serves a request; the next one of the same connection follows when its response is closed. */
  serve (exchange: HttpExchange): void
  /** The answer to input that is not valid HTTP, as it is written to the connection; an empty one closes it. */
  composeMalformed (error: NodeJS.ErrnoException): string
}

/** How long a server that stops listening looks for a good moment at most, ms, and the part of the time so far that a short turn of the event loop takes. */
const stopListeningMs = 3000
const shortTurnShare = 0.02

export class ClientServer {
  readonly http: Server
  #options: ClientServerOptions
  #connections = new Map<Socket, ClientConnection>()
  #acceptedCount = 0

  constructor (options: ClientServerOptions) {
    this.#options = options
    this.http = createServer(options.http ?? {}, (request, response) => this.#connections.get(request.socket)?.add({ request, response }))
    this.http.prependListener('connection', socket => this.#accept(socket))
    this.http.on('connection', socket => this.#connections.get(socket)?.watch())
    this.http.on('clientError', (error: NodeJS.ErrnoException, socket) => this.#refuseMalformed(error, socket as Socket))
  }

  get connectionCount (): number { return this.#connections.size }

  listen (options: ListenOptions & { readonly port: number }): Promise<number> { return listen(this.http, options) }

  /** True if a request is served, or waits behind another on its connection. */
  get isServing (): boolean { return [...this.#connections.values()].some(({ stage, hasWaiting }) => stage === 'serving' || hasWaiting) }

  /** True if requests of this connection wait behind the one that is served. */
  hasWaiting (socket: Socket): boolean { return this.#connections.get(socket)?.hasWaiting === true }

  /** Refuses further connections; those that are open, or wait to be accepted, stay. */
  async stopListening (): Promise<void> {
    const startedAt = performance.now()
    await nextTurn()
    // What connects between the last look for connections and the close is reset. So the turn between them accepts none, and
    // is short; under load it may be longer, the longer it takes to find one.
    for (let isClear = false, at = performance.now(); !isClear && at - startedAt < stopListeningMs;) {
      const turnAt = at
      const count = this.#acceptedCount
      await nextTurn()
      at = performance.now()
      isClear = this.#acceptedCount === count && at - turnAt < (at - startedAt) * shortTurnShare
    }
    // `Server.close` of HTTP would also close the connections at rest.
    SocketServer.prototype.close.call(this.http)
  }

  /** True if no request is read in part or served, and no connection has been in use for `restMs`. */
  isQuiet (restMs: number): boolean {
    const usedAt = performance.now() - restMs
    for (const { stage, since } of this.#connections.values()) {
      if (stage === 'serving' || stage === 'receiving' || since > usedAt) return false
    }
    return true
  }

  /** Closes the connection of a request after its answer, unless a further request waits on it. */
  closeAfter ({ request, response }: HttpExchange): void { this.#connections.get(request.socket)?.closeAfter(response) }

  /** Closes the server and all connections. */
  close (): void {
    this.http.close()
    this.http.closeAllConnections()
  }

  #accept (socket: Socket): void {
    if (this.#connections.size >= this.#options.maxConnections && !this.#makeRoom()) {
      this.#noteRefused('connections', socket)
      return void socket.destroy()
    }
    this.#acceptedCount += 1
    const { intake: { memory }, serve } = this.#options
    const connection = new ClientConnection(socket, { memory, serve, noteRefused: () => this.#noteRefused('memory', socket) })
    this.#connections.set(socket, connection)
    socket.on('close', () => this.#connections.delete(socket))
  }

  #makeRoom (): boolean {
    const closed = chooseClosed(this.#connections.values())
    if (closed === null) return false
    this.#noteRefused('connections', closed.socket)
    this.#connections.delete(closed.socket)
    closed.socket.destroy()
    return true
  }

  #noteRefused (reason: 'connections' | 'memory', { remoteAddress = '' }: Socket): void {
    const { intake, listener } = this.#options
    intake.noteRefused(listener, reason, { address: remoteAddress })
  }

  #refuseMalformed (error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#connections.get(socket)
    const answer = connection === undefined || !socket.writable || error.code === 'ECONNRESET' ? '' : this.#options.composeMalformed(error)
    if (answer === '') socket.destroy()
    else connection?.end(answer)
  }
}
