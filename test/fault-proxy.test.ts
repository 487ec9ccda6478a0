import assert from 'node:assert/strict'
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { listen } from '../src/runtime/index.js'
import { FaultProxy } from '../src/soak/index.js'
import type { ProxyMode } from '../src/soak/index.js'
import { host, waitFor } from './support/deployment.js'

/** Opens a connection through a proxy to a server; `out` returns what the server has received. */
async function openThrough (): Promise<{ proxy: FaultProxy, socket: Socket, out: () => string, close: () => void }> {
  let got = ''
  const server = createServer(inner => inner.on('data', (chunk: Buffer) => { got += chunk.toString() }).on('error', () => {}))
  const port = await listen(server, { host, port: 0 })
  const proxy = new FaultProxy(host, () => port)
  const socket = connect(await proxy.listen(host), host)
  socket.on('error', () => {})
  socket.write('begin')
  await waitFor(() => got === 'begin', 'the connection')
  got = ''
  const close = (): void => {
    socket.destroy()
    proxy.close()
    server.close()
  }
  return { proxy, socket, out: () => got, close }
}

const modes: readonly ProxyMode[] = ['delay', 'throttle']

for (const mode of modes) {
  test(`bytes keep their order when a proxy leaves mode ${mode}`, async () => {
    const { proxy, socket, out, close } = await openThrough()
    try {
      const parts = Array.from({ length: 20 }, (_, i) => `${i},`.repeat(40))
      for (const [i, part] of parts.entries()) {
        proxy.setMode(i % 4 === 3 ? 'pass' : mode)
        socket.write(part)
        await new Promise(resolve => setTimeout(resolve, 5))
      }
      await waitFor(() => out().length === parts.join('').length, 'all of it')
      assert.equal(out(), parts.join(''))
    } finally {
      close()
    }
  })
}

test('a throttling proxy keeps to its rate even if many bytes arrive at once', async () => {
  const { proxy, socket, out, close } = await openThrough()
  try {
    proxy.setMode('throttle')
    const startedAt = performance.now()
    socket.write('x'.repeat(5000))
    await waitFor(() => out().length === 5000, 'all of it')
    // 5000 bytes at 10 bytes/ms take 500 ms; timers may fire a little early.
    assert.ok(performance.now() - startedAt >= 490)
  } finally {
    close()
  }
})
