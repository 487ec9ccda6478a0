/**
 * A stand-in for whoever runs the platform below: it takes usage and orders of
 * endpoints, looks at no fence, records every call as it arrives, and misbehaves
 * on command. What its records must never show is said by `findBreaches`.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { resetSocket } from '../protocol/index.js'
import { listenOn, readBody } from './http-tools.js'

/** How the platform misbehaves; `lose`: it takes calls, and their answers get lost. */
export type PlatformFault = 'none' | 'busy' | 'error' | 'refuse' | 'silent' | 'garbage' | 'lose'

/** One call as it arrived. */
export interface PlatformCall {
  /** On the process's rising clock, ms. */
  readonly at: number
  readonly path: string
  readonly holder: string
  readonly fence: number
  readonly body: string
  /** Whether it has taken the call, whatever it answered. */
  readonly isTaken: boolean
}

const statuses = { none: 200, lose: 200, busy: 429, error: 500, refuse: 409, silent: 0, garbage: 0 }

export class StandinPlatform {
  readonly calls: PlatformCall[] = []
  fault: PlatformFault = 'none'
  port = 0
  #server: Server

  constructor () {
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
  }

  async listen (host: string, port = 0): Promise<number> {
    this.port = await listenOn(this.#server, host, port)
    return this.port
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** The bodies that it has taken at a path. */
  listTaken (path: string): string[] {
    return this.calls.filter(call => call.isTaken && call.path === path).map(({ body }) => body)
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readBody(request)).toString()
    const { fault } = this
    const status = statuses[fault]
    const { 'x-wrenlane-holder': holder, 'x-wrenlane-fence': fence } = request.headers
    this.calls.push({ at: performance.now(), path: request.url ?? '', holder: String(holder), fence: Number(fence), body, isTaken: status === 200 })
    if (fault === 'silent') return
    if (fault === 'lose') return void resetSocket(request.socket)
    if (fault === 'garbage') return void request.socket.end('what is this\r\n\r\n')
    response.writeHead(status, { 'content-length': 0 })
    response.end()
  }
}

/**
 * What calls show that must never be: a lower fence after a higher one, one fence
 * of two holders, and a holder that is back within `leaseMs` of its turn once
 * another has had one.
 */
export function findBreaches (calls: readonly Pick<PlatformCall, 'at' | 'holder' | 'fence'>[], leaseMs: number): string[] {
  const breaches: string[] = []
  const owners = new Map<number, string>()
  const turns: { readonly holder: string, last: number }[] = []
  let highest = 0
  for (const { at, holder, fence } of calls) {
    if (fence < highest) breaches.push(`fence ${fence} of ${holder} after ${highest} at ${at}`)
    highest = Math.max(highest, fence)
    if ((owners.get(fence) ?? holder) !== holder) breaches.push(`fence ${fence} of two holders at ${at}`)
    owners.set(fence, holder)
    const turn = turns.at(-1)
    if (turn?.holder === holder) turn.last = at
    else {
      const before = turns.findLast(one => one.holder === holder)
      if (before !== undefined && at - before.last < leaseMs) breaches.push(`${holder} is back ${at - before.last} ms after its turn, at ${at}`)
      turns.push({ holder, last: at })
    }
  }
  return breaches
}
