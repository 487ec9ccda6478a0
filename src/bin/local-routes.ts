/**
 * The part of `wrenlane-local` that routes by a routing document: one registry,
 * one gateway and two stand-in endpoints, in the native dialect.
 */
import { request as httpRequest } from 'node:http'
import { join } from 'node:path'
import { GatewayBox } from '../gateway/index.js'
import { nativeDialect } from '../protocol/index.js'
import { RegistryBox } from '../registry/index.js'
import { EventLog, Metrics } from '../runtime/index.js'
import type { ClientIntake } from '../runtime/index.js'
import { StandinEndpoint } from '../standin/index.js'

/** Addresses of the running boxes; `stop` resolves with the number of requests that were aborted. */
export interface LocalRoutes {
  readonly url: string
  readonly registry: string
  stop (): Promise<number>
}

const host = '127.0.0.1'
const zone = 'zone-a'
const service = 'desk'
const endpointHeaders = { requestId: 'x-wrenlane-request-id', expectedEndpoint: 'x-wrenlane-endpoint', notRun: 'x-wrenlane-not-run', mark: '', lastEvent: 'last-event-id' }
/** Interval between registrations (heartbeats) of the stand-in endpoints, ms. */
const heartbeatIntervalMs = 1000
/** Maximum time until the gateway is ready, ms. */
const readyTimeoutMs = 10_000

const document = {
  version: 1,
  routes: [
    { name: 'calls', host: 'localhost', prefix: '/calls/', kind: 'once', timeoutMs: 5000, targetMs: 500, services: [{ service }] },
    { name: 'streams', host: 'localhost', prefix: '/streams/', kind: 'events', timeoutMs: 15_000, targetMs: 500, resumable: true, services: [{ service }] }
  ],
  services: [{ name: service }]
}

/** Starts everything on ports from `port` on; resolves when the gateway is ready, or after `readyTimeoutMs`. */
export async function startRoutes (port: number, data: string, intake: ClientIntake, writeLine: (line: string) => void): Promise<LocalRoutes> {
  const sharedSettings = { zone, host, linkPort: port + 1, loadPort: port + 4, seeds: [`${host}:${port + 2}`], secretFile: '', openLinks: true, metricsPort: 0, logLinesPerSecond: 200, statsd: null }
  const createContext = (id: string) => ({ dialect: nativeDialect, log: new EventLog(id, writeLine), metrics: new Metrics(null, id), intake, secret: null })
  const registry = new RegistryBox({ ...sharedSettings, id: 'registry-1', listen: `${host}:${port + 2}`, bind: '', data: join(data, 'registry-1'), first: true, faults: 0, heartbeatMs: 70, electionMs: 350, snapshotEvery: 100, duties: null, lostMs: 30_000, maxBodyBytes: 2 ** 20, drainSeconds: 10, maxConnections: 1000, memoryMb: null, features: [], contention: { mode: 'off' } }, createContext('registry-1'))
  const gateway = new GatewayBox({ ...sharedSettings, id: 'gateway-1', listen: `${host}:${port}`, ready: `${host}:${port + 3}`, relayPort: 0, retries: { ratio: 0.1, extra: 20, windowSeconds: 10 }, usageWindowSeconds: 0, drainSeconds: 10, maxConnections: 1000, features: [], box: null, answers: null, contention: { mode: 'off' } }, createContext('gateway-1'))
  await registry.start()
  await gateway.start()
  const endpoints = ['endpoint-1', 'endpoint-2'].map(id => Object.assign(new StandinEndpoint(id, endpointHeaders, null, intake), { keepsRuns: false }))
  for (const endpoint of endpoints) await endpoint.listen(host)
  const timer = startHeartbeats(endpoints, port + 2)
  const deadline = Date.now() + readyTimeoutMs
  while (!gateway.isReady && Date.now() < deadline) {
    await sendRequest(port + 2, 'PUT', '/v1/routing', document)
    await new Promise(resolve => setTimeout(resolve, 50))
  }
  return {
    url: `http://localhost:${port}`,
    registry: `http://${host}:${port + 2}`,
    stop: async () => {
      clearInterval(timer)
      const cutRequests = await gateway.stop()
      await registry.stop()
      for (const endpoint of endpoints) endpoint.close()
      return cutRequests
    }
  }
}

function startHeartbeats (endpoints: readonly StandinEndpoint[], port: number): NodeJS.Timeout {
  let sequence = 0
  const sendHeartbeats = (): void => {
    sequence += 1
    for (const endpoint of endpoints) void sendRequest(port, 'PUT', `/v1/endpoints/${endpoint.id}`, { service, host, port: endpoint.port, zone, slots: 8, sequence, stage: 'ready' })
  }
  sendHeartbeats()
  return setInterval(sendHeartbeats, heartbeatIntervalMs)
}

// Errors are ignored, as callers repeat the request until the registry is up.
function sendRequest (port: number, method: string, path: string, body: object): Promise<void> {
  return new Promise(resolve => {
    const request = httpRequest({ host, port, method, path, headers: { 'content-type': 'application/json' } }, answer => {
      answer.resume()
      answer.on('close', resolve)
    })
    request.on('error', () => resolve())
    request.end(JSON.stringify(body))
  })
}
