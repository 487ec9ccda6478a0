/**
 * A stand-in for the platform underneath. It accepts usage reports and orders of
 * endpoints without checking fencing tokens, records every call, and injects
 * faults. `findFencingViolations` checks the recorded calls for violations of fencing.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { resetSocket } from '../protocol/index.js'
import { createIntake, listenOn, readBody } from './http-tools.js'

/** Faults that can be injected; `lose`: accepts calls, but resets the connection instead of answering. */
export type PlatformFault = 'none' | 'busy' | 'error' | 'refuse' | 'silent' | 'garbage' | 'lose'

/** A recorded call. */
export interface PlatformCall {
  /** On the process's monotonic clock, ms. */
  readonly at: number
  readonly path: string
  readonly holder: string
  readonly fence: number
  readonly body: string
  /** Whether the call was accepted, even if its answer was lost. */
  readonly isAccepted: boolean
}

const statuses = { none: 200, lose: 200, busy: 429, error: 500, refuse: 409, silent: 0, garbage: 0 }

export class StandinPlatform {
  readonly calls: PlatformCall[] = []
  fault: PlatformFault = 'none'
  port = 0
  #server: Server
  #intake = createIntake()

  constructor () {
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
  }

  async listen (host: string, port = 0): Promise<number> {
    this.port = await listenOn(this.#server, host, port)
    return this.port
  }

  close (): void {
    this.#intake.close()
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Returns the bodies of the accepted calls to a path. */
  listAcceptedBodies (path: string): string[] {
    return this.calls.filter(call => call.isAccepted && call.path === path).map(({ body }) => body)
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readBody(request, this.#intake)).toString()
    const { fault } = this
    const status = statuses[fault]
    const { 'x-wrenlane-holder': holder, 'x-wrenlane-fence': fence } = request.headers
    this.calls.push({ at: performance.now(), path: request.url ?? '', holder: String(holder), fence: Number(fence), body, isAccepted: status === 200 })
    if (fault === 'silent') return
    if (fault === 'lose') return void resetSocket(request.socket)
    if (fault === 'garbage') return void request.socket.end('what is this\r\n\r\n')
    response.writeHead(status, { 'content-length': 0 })
    response.end()
  }
}

/**
 * Returns violations of fencing in a sequence of calls: a lower fencing token after
 * a higher one, a token used by two holders, and a holder that returns within
 * `leaseMs` of its last call although another holder has called since.
 */
export function findFencingViolations (calls: readonly Pick<PlatformCall, 'at' | 'holder' | 'fence'>[], leaseMs: number): string[] {
  const breaches: string[] = []
  const owners = new Map<number, string>()
  const turns: { readonly holder: string, last: number }[] = []
  let highest = 0
  for (const { at, holder, fence } of calls) {
    if (fence < highest) breaches.push(`fence ${fence} of holder ${holder} used after fence ${highest}, at ${at}`)
    highest = Math.max(highest, fence)
    if ((owners.get(fence) ?? holder) !== holder) breaches.push(`fence ${fence} used by two holders, at ${at}`)
    owners.set(fence, holder)
    const turn = turns.at(-1)
    if (turn?.holder === holder) turn.last = at
    else {
      const before = turns.findLast(one => one.holder === holder)
      if (before !== undefined && at - before.last < leaseMs) breaches.push(`holder ${holder} called again ${at - before.last} ms after its last call, with another holder in between, at ${at}`)
      turns.push({ holder, last: at })
    }
  }
  return breaches
}
