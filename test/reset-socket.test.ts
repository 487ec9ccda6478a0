import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { resetSocket } from '../src/protocol/index.js'

/** States of an accepted connection when it is reset. */
const cases: readonly { readonly name: string, readonly before: (socket: Socket) => void }[] = [
  { name: 'open', before: () => {} },
  { name: 'written to', before: socket => { socket.write('x') } },
  { name: 'ended', before: socket => { socket.end('x') } },
  { name: 'destroyed', before: socket => { socket.destroy() } }
]

for (const { name, before } of cases) {
  test(`resetting a connection that is ${name} closes it`, { timeout: 5000 }, async () => {
    const errors: string[] = []
    const server = createServer({ allowHalfOpen: true }, socket => {
      socket.on('error', (error: NodeJS.ErrnoException) => errors.push(error.code ?? ''))
      before(socket)
      resetSocket(socket)
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
    caller.on('error', () => {}).resume()
    await new Promise(resolve => caller.once('close', resolve))
    server.close()
    await once(server, 'close')
    assert.deepEqual(errors, [])
  })
}
