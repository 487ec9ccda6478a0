import { Agent, get } from 'node:http'
import { StandinEngine } from '../standin/index.js'

const tcpOverheadBytes = 44
const packetsPerPoll = 3

/** Bytes of one poll of an engine's load report over a kept-alive connection, in both directions, including TCP overhead. */
export async function measurePollBytes (): Promise<number> {
  const engine = new StandinEngine({ id: 'e', host: '127.0.0.1', port: 0, models: ['m'], batch: 1, baseMs: 1, streamMs: 1, prefillMs: 1, kvTokens: 1000, reportLagMs: 0, checksFencing: true })
  const port = await engine.listen()
  const agent = new Agent({ keepAlive: true })
  await poll(port, agent)
  const bytes = await poll(port, agent)
  agent.destroy()
  engine.close()
  return bytes + packetsPerPoll * tcpOverheadBytes
}

function poll (port: number, agent: Agent): Promise<number> {
  return new Promise((resolve, reject) => {
    const request = get({ host: '127.0.0.1', port, path: '/v1/load', agent }, response => {
      const { socket } = response
      const previousTotal = previousTotals.get(socket) ?? 0
      response.resume()
      response.on('end', () => {
        const total = socket.bytesRead + socket.bytesWritten
        previousTotals.set(socket, total)
        resolve(total - previousTotal)
      })
    })
    request.on('error', reject)
  })
}

const previousTotals = new WeakMap<object, number>()
