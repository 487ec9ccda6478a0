/** Endpoints that write answers without end, at a gateway that is a process, beside ordinary calls. */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { resetSocket } from '../../src/protocol/index.js'
import { waitFor } from './deployment.js'
import { ProcessDeployment, gatewayBudgetMb } from './process-deployment.js'
import type { CallAnswer } from './route-deployment.js'

/** What an endpoint writes for a request, once and then without end. */
export interface EndlessAnswer {
  readonly name: string
  readonly path: '/stream/x' | '/call/x'
  readonly head: string
  readonly endless: string
}

export const plain = '\r\n'
export const chunked = 'transfer-encoding: chunked\r\n\r\n'
/** Requests to the endpoints that write without end, at once. */
const callers = 200
/** Time-out of all routes, ms; ordinary calls have it too. */
const timeoutMs = 3000
const ordinaryIntervalMs = 40
const fewestCalls = 50
/** A case that takes longer has failed, ms. */
const maxTestMs = 50_000

/** A server that writes the answer of one case to each request. */
class EndlessEndpoint {
  readonly sockets = new Set<Socket>()
  #one: EndlessAnswer
  #server = createServer(socket => this.#serve(socket))

  constructor (one: EndlessAnswer) {
    this.#one = one
  }

  async listen (host: string): Promise<number> {
    await new Promise<void>(resolve => { this.#server.listen(0, host, resolve) })
    return (this.#server.address() as AddressInfo).port
  }

  close (): void {
    for (const socket of this.sockets) resetSocket(socket)
    this.#server.close()
  }

  #serve (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('data', (chunk: Buffer) => { if (chunk.includes('POST')) this.#answer(socket, chunk.toString()) })
  }

  #answer (socket: Socket, text: string): void {
    const id = /x-wrenlane-request-id: (.*)\r\n/i.exec(text)?.[1] ?? ''
    const { head, endless } = this.#one
    socket.write(`HTTP/1.1 200 OK\r\nx-wrenlane-request-id: ${id}\r\n${head}`)
    // One piece at a time, so that all connections get their turn.
    const writeMore = (): void => { if (!socket.destroyed && socket.write(endless)) setImmediate(writeMore) }
    socket.on('drain', writeMore)
    writeMore()
  }
}

async function startDeployment (network: string): Promise<ProcessDeployment> {
  const route = (name: string, kind: string, service: string) => ({ name, host: 'camp.example', prefix: `/${name}/`, kind, timeoutMs, targetMs: 300, mostAttempts: 1, services: [{ service }] })
  return await ProcessDeployment.start(network, { routes: [route('stream', 'events', 'endless'), route('call', 'once', 'endless'), route('ordinary', 'once', 'desk')], services: [{ name: 'endless' }] })
}

/** One test for each case, with processes of its own on `network`. */
export function testEndless (network: string, cases: readonly EndlessAnswer[]): void {
  for (const one of cases) {
    test(`endpoints that write ${one.name} exhausted the memory of a gateway, or held up other calls`, { timeout: maxTestMs }, async t => {
      const deployment = await startDeployment(network)
      t.after(() => deployment.stop())
      const endpoint = new EndlessEndpoint(one)
      t.after(() => endpoint.close())
      await deployment.register('endless', 'endless', await endpoint.listen(deployment.endpointHost))
      await waitFor(async () => (await deployment.askAt(one.path, 'first', 100)).status !== 503, 'the endpoint known')
      const { gateway } = deployment
      const bound = gateway.computeBound(gatewayBudgetMb, callers)
      const progress = { isOver: false }
      const endless = Promise.all(Array.from({ length: callers }, (_, i) => deployment.askAt(one.path, `endless-${i}`, timeoutMs)))
      void endless.then(() => { progress.isOver = true })
      const ordinary: Promise<CallAnswer>[] = []
      while (!t.signal.aborted && (!progress.isOver || ordinary.length < fewestCalls)) {
        ordinary.push(deployment.askAt('/ordinary/x', `ordinary-${ordinary.length}`, timeoutMs))
        await sleep(ordinaryIntervalMs)
      }
      const failed = (await Promise.all(ordinary)).filter(({ status, isWhole }) => status !== 200 || !isWhole)
      t.diagnostic(`${ordinary.length} ordinary calls beside ${callers} endless answers`)
      assert.equal(gateway.exit, '', 'the process ended')
      gateway.checkBound(t, bound)
      assert.equal(failed.length, 0, `${failed.length} of ${ordinary.length} ordinary calls failed: ${failed.map(({ status }) => status).join(' ')}`)
      for (const { status, isWhole } of await endless) assert.ok(status >= 500 || !isWhole, `status ${status}`)
      await waitFor(() => endpoint.sockets.size === 0, 'the connections closed')
    })
  }
}
