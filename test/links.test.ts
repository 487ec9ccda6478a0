import assert from 'node:assert/strict'
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { mock, test } from 'node:test'
import { FrameSplitter, LinkPool, encodeValue, frameBytes } from '../src/protocol/index.js'
import { HybridClock } from '../src/runtime/index.js'
import { host, waitFor } from './support/deployment.js'

interface Side {
  readonly pool: LinkPool<string>
  readonly received: string[]
  readonly faults: string[]
  opened: number
}

function createSide (id: string, secret = 'the same long secret'): Side {
  const side: Side = {
    received: [],
    faults: [],
    opened: 0,
    pool: new LinkPool<string>({
      id,
      secret,
      clock: new HybridClock(Date.now),
      receive: (_link, message) => { side.received.push(message) },
      noteOpen: () => { side.opened += 1 },
      noteClosed: () => {},
      noteFault: fault => { side.faults.push(fault) }
    })
  }
  return side
}

test('messages between boxes with the same secret arrive in order', async () => {
  const [a, b] = [createSide('a'), createSide('b')]
  const port = await b.pool.listen(host, 0)
  a.pool.dial(host, port)
  await waitFor(() => a.pool.find(host, port) !== undefined, 'a link')
  for (let i = 0; i < 500; i++) a.pool.find(host, port)?.send(`m${i}`)
  await waitFor(() => b.received.length === 500, '500 messages')
  assert.deepEqual(b.received, Array.from({ length: 500 }, (_, i) => `m${i}`))
  a.pool.close()
  b.pool.close()
})

// Boxes that start at the same time dial each other before the other listens, and back off after each failure.
test('an incoming link from a host that could not be reached triggers an immediate retry', async () => {
  const [a, b] = [createSide('a'), createSide('b')]
  const portOfA = await a.pool.listen(host, 0)
  const closed = createServer()
  await new Promise<void>(resolve => closed.listen(0, host, resolve))
  const { port } = closed.address() as { port: number }
  await new Promise<void>(resolve => closed.close(() => resolve()))
  mock.timers.enable({ apis: ['setTimeout'] })
  try {
    a.pool.dial(host, port)
    await runTurns(100)
    await b.pool.listen(host, port)
    b.pool.dial(host, portOfA)
    for (let turns = 0; turns < 100_000 && a.pool.find(host, port) === undefined; turns++) await runTurns(1)
    assert.notEqual(a.pool.find(host, port), undefined)
  } finally {
    mock.timers.reset()
    a.pool.close()
    b.pool.close()
  }
})

/** Runs some turns of the event loop, so that sockets proceed while timers are mocked. */
async function runTurns (turns: number): Promise<void> {
  for (let i = 0; i < turns; i++) await new Promise(resolve => setImmediate(resolve))
}

test('messages of a box with another secret are refused and reported as a fault', async () => {
  const [a, b] = [createSide('a', 'another long secret'), createSide('b')]
  const port = await b.pool.listen(host, 0)
  a.pool.dial(host, port)
  await waitFor(() => a.pool.find(host, port) !== undefined, 'a link')
  a.pool.find(host, port)?.send('hello')
  await waitFor(() => b.faults.includes('bad-code'), 'the fault')
  assert.deepEqual(b.received, [])
  a.pool.close()
  b.pool.close()
})

test('a large frame in the same chunk as the hello is accepted', async () => {
  const received: string[] = []
  const server = createServer(socket => {
    // Sends the hello and the next frame in one chunk.
    socket.once('data', () => {
      const hello = frameBytes([encodeValue({ v: 1, id: 'b', nonce: Buffer.alloc(16) })])
      const large = frameBytes([encodeValue([1, 0, ['x'.repeat(5000)]])])
      socket.write(Buffer.concat([hello, large]))
    })
    socket.on('error', () => {})
  })
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  const { port } = server.address() as { port: number }
  const pool = new LinkPool<string>({
    id: 'a',
    secret: null,
    clock: new HybridClock(Date.now),
    receive: (_link, message) => { received.push(message) },
    noteOpen: () => {},
    noteClosed: () => {},
    noteFault: fault => assert.fail(fault)
  })
  pool.dial(host, port)
  await waitFor(() => received.length === 1, 'the large message')
  assert.equal(received[0].length, 5000)
  pool.close()
  server.close()
})

test('a link with heartbeats closes when its peer sends none', async () => {
  const sockets: Socket[] = []
  const server = createServer(socket => {
    sockets.push(socket)
    socket.write(frameBytes([encodeValue({ v: 1, id: 'b', nonce: Buffer.alloc(16) })]))
    socket.on('error', () => {})
  })
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  const faults: string[] = []
  const pool = new LinkPool<string>({
    id: 'a',
    secret: null,
    heartbeat: { intervalMs: 20, timeoutMs: 100 },
    clock: new HybridClock(Date.now),
    receive: () => {},
    noteOpen: () => {},
    noteClosed: () => {},
    noteFault: fault => { faults.push(fault) }
  })
  pool.dial(host, (server.address() as { port: number }).port)
  await waitFor(() => faults.includes('silent'), 'the silence noticed')
  pool.close()
  server.close()
})

/** A proxy that passes each chunk of the connecting side through `change`. */
async function startTamperingProxy (port: number, change: (chunk: Buffer, index: number) => Buffer[]): Promise<{ port: number, close: () => void }> {
  const sockets: Socket[] = []
  const server = createServer(inner => {
    const outer = connect(port, host)
    sockets.push(inner, outer)
    for (const socket of [inner, outer]) socket.on('error', () => {})
    let index = 0
    inner.on('data', (chunk: Buffer) => {
      for (const bytes of change(chunk, index)) outer.write(bytes)
      index += 1
    })
    outer.pipe(inner)
  })
  const own = await new Promise<number>(resolve => server.listen(0, host, () => resolve((server.address() as { port: number }).port)))
  return {
    port: own,
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

const tamperCases: { name: string, change: (chunk: Buffer, index: number) => Buffer[], fault: string }[] = [
  { name: 'replayed', change: (chunk, index) => index === 0 ? [chunk] : [chunk, chunk], fault: 'bad-code' },
  {
    name: 'changed',
    change: (chunk, index) => {
      const copy = Buffer.from(chunk)
      if (index > 0) copy[copy.length - 1] ^= 1
      return [copy]
    },
    fault: 'bad-code'
  },
  { name: 'larger than the limit', change: (chunk, index) => index === 0 ? [chunk] : [Buffer.from([255, 255, 255, 127])], fault: 'too-large' }
]

for (const { name, change, fault } of tamperCases) {
  test(`a frame that is ${name} is refused and reported as a fault`, async () => {
    const [a, b] = [createSide('a'), createSide('b')]
    const proxy = await startTamperingProxy(await b.pool.listen(host, 0), change)
    a.pool.dial(host, proxy.port)
    await waitFor(() => a.pool.find(host, proxy.port) !== undefined, 'a link')
    a.pool.find(host, proxy.port)?.send('pay once')
    await waitFor(() => b.faults.includes(fault), 'the fault')
    assert.ok(b.received.filter(message => message === 'pay once').length <= 1)
    a.pool.close()
    b.pool.close()
    proxy.close()
  })
}

test('an invalid hello closes its connection but not the listener', async () => {
  const b = createSide('b')
  const port = await b.pool.listen(host, 0)
  for (const bytes of [Buffer.from('GET / HTTP/1.1\r\n\r\n'), frameBytes([encodeValue({ v: 9 })]), frameBytes([Buffer.from([255, 255])])]) {
    const socket = connect(port, host)
    socket.on('error', () => {})
    socket.resume()
    socket.write(bytes)
    await new Promise(resolve => socket.once('close', resolve))
  }
  assert.equal(b.faults.length, 3)
  assert.equal(b.opened, 0)
  b.pool.close()
})

test('frames are reassembled from chunks of any size', () => {
  const frames = [Buffer.from('a'), Buffer.alloc(300, 7), Buffer.from('')].map(body => frameBytes([body]))
  const stream = Buffer.concat(frames)
  for (let size = 1; size < 50; size += 7) {
    const splitter = new FrameSplitter(1000)
    const found: Buffer[] = []
    for (let at = 0; at < stream.length; at += size) found.push(...splitter.push(stream.subarray(at, at + size)))
    assert.deepEqual(found.map(frame => frame.length), [1, 300, 0])
  }
})
