import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { request as httpRequest } from 'node:http'
import { after, before, test } from 'node:test'
import OpenAI from 'openai'
import { composeAnswer } from '../src/standin/index.js'
import { Deployment, sendChat, host, apiKey, readStream, send, waitFor } from './support/deployment.js'

let deployment: Deployment

before(async () => { deployment = await Deployment.start({ port: 21_000 }) })
after(() => deployment.stop())

const messages = [{ role: 'user', content: 'where is the pitch?' }]
const fullText = composeAnswer({ model: 'm', messages, max_tokens: 10 }).words.join('')

test('a streamed response is complete and ends with [DONE]', async () => {
  const response = await sendChat(deployment.url, { stream: true })
  assert.equal(response.status, 200)
  assert.deepEqual(readStream(response.body), { text: fullText, done: true, error: null })
  assert.match(String(response.headers['x-wrenlane-request-id']), /^entry-1-/)
})

test('a non-streamed response has token counts', async () => {
  const response = await sendChat(deployment.url)
  const body = JSON.parse(response.body)
  assert.equal(body.choices[0].message.content, fullText)
  assert.equal(body.usage.completion_tokens, 10)
})

test('a stream has token counts only if they were requested', async () => {
  const withUsage = await sendChat(deployment.url, { stream: true, stream_options: { include_usage: true } })
  const withoutUsage = await sendChat(deployment.url, { stream: true })
  assert.match(withUsage.body, /"usage":\{/)
  assert.doesNotMatch(withoutUsage.body, /"usage":\{/)
})

test('the OpenAI client works with only its base URL changed', async () => {
  const client = new OpenAI({ apiKey, baseURL: `${deployment.url}/v1`, maxRetries: 0 })
  const models = await client.models.list()
  assert.deepEqual(models.data.map(model => model.id), ['m'])
  const response = await client.chat.completions.create({ model: 'm', messages: [{ role: 'user', content: 'hello' }], max_tokens: 4 })
  assert.equal(response.usage?.completion_tokens, 4)
  let text = ''
  const stream = await client.chat.completions.create({ model: 'm', messages: [{ role: 'user', content: 'hello' }], max_tokens: 4, stream: true })
  for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? ''
  assert.equal(text, response.choices[0].message.content)
  await assert.rejects(client.chat.completions.create({ model: 'other', messages: [{ role: 'user', content: 'hello' }] }), OpenAI.NotFoundError)
})

const refusals: { name: string, path: string, body: string | Buffer, headers: Record<string, string>, status: number, code: string }[] = [
  { name: 'no key', path: '/v1/chat/completions', body: '{}', headers: { authorization: '' }, status: 401, code: 'bad-key' },
  { name: 'a wrong key', path: '/v1/chat/completions', body: '{}', headers: { authorization: 'Bearer nobody' }, status: 401, code: 'bad-key' },
  { name: 'broken JSON', path: '/v1/chat/completions', body: '{"model":', headers: {}, status: 400, code: 'bad-request' },
  { name: 'no messages', path: '/v1/chat/completions', body: '{"model":"m"}', headers: {}, status: 400, code: 'bad-request' },
  { name: 'a limit of 0 tokens', path: '/v1/chat/completions', body: '{"model":"m","messages":[{"role":"user"}],"max_tokens":0}', headers: {}, status: 400, code: 'bad-request' },
  { name: 'an unknown class', path: '/v1/chat/completions', body: '{}', headers: { 'x-wrenlane-class': 'nope' }, status: 400, code: 'unknown-class' },
  { name: 'an unknown model', path: '/v1/chat/completions', body: '{"model":"x","messages":[{"role":"user","content":"a"}]}', headers: {}, status: 404, code: 'unknown-model' },
  { name: 'an unknown service', path: '/v1/services/none/x', body: '{}', headers: {}, status: 404, code: 'unknown-service' },
  { name: 'an unknown path', path: '/v2/x', body: '{}', headers: {}, status: 404, code: 'unknown-path' },
  { name: 'a call without its key', path: '/v1/services/bookings/confirm', body: '{}', headers: {}, status: 400, code: 'key-required' },
  { name: 'a body over the limit', path: '/v1/chat/completions', body: Buffer.alloc(2 ** 20 + 1, 32), headers: {}, status: 413, code: 'body-too-large' }
]

for (const { name, path, body, headers, status, code } of refusals) {
  test(`${name}: refused with outcome not-run`, async () => {
    const response = await send(deployment.url, path, body, headers)
    assert.equal(response.status, status)
    const { error } = JSON.parse(response.body)
    assert.equal(error.code, code)
    assert.equal(error.outcome, 'not-run')
    assert.equal(response.headers['x-wrenlane-outcome'], 'not-run')
    assert.ok(response.headers['x-wrenlane-request-id'])
  })
}

/** Writes bytes on a new connection and reads until the connection is closed. */
function sendRaw (bytes: string | Buffer, chunks: Buffer[] = []): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(deployment.entries[0].port, host)
    let text = ''
    socket.on('data', chunk => { text += chunk.toString() })
    socket.on('close', () => resolve(text))
    socket.on('error', () => {})
    socket.write(bytes)
    for (const chunk of chunks) socket.write(chunk)
  })
}

test('a 64 KiB header is refused, and other requests are served', async () => {
  const text = await sendRaw(`GET /healthz HTTP/1.1\r\nhost: x\r\nx-big: ${'a'.repeat(65_536)}\r\n\r\n`)
  assert.match(text, /^HTTP\/1.1 431 /)
  assert.match(text, /"code":"bad-request"/)
  assert.equal((await sendChat(deployment.url)).status, 200)
})

test('a body with a declared length of 100 MiB is refused at once, and other requests are served', async () => {
  const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${apiKey}\r\ncontent-length: ${100 * 2 ** 20}\r\n\r\n`
  const text = await sendRaw(head, [Buffer.alloc(2 ** 18, 32)])
  assert.match(text, /^HTTP\/1.1 413 /)
  assert.equal((await sendChat(deployment.url)).status, 200)
})

test('a chunked body is refused as soon as it exceeds the limit', async () => {
  const status = await new Promise<number>((resolve, reject) => {
    const request = httpRequest(`${deployment.url}/v1/chat/completions`, { method: 'POST', headers: { authorization: `Bearer ${apiKey}`, 'transfer-encoding': 'chunked' } }, response => {
      resolve(response.statusCode ?? 0)
      request.destroy()
    })
    request.on('error', reject)
    const chunk = Buffer.alloc(2 ** 18, 32)
    for (let i = 0; i < 6; i++) request.write(chunk)
  })
  assert.equal(status, 413)
})

test('input that is not HTTP gets an error response of the usual format', async () => {
  assert.match(await sendRaw('hello there\r\n\r\n'), /^HTTP\/1.1 400 [\s\S]*"code":"bad-request"/)
})

test('the engine stops when the caller disconnects', async () => {
  const before = countEnds('cancelled')
  const socket = connect(deployment.entries[0].port, host)
  socket.on('error', () => {})
  const body = JSON.stringify({ model: 'm', messages: [{ role: 'user', content: 'long' }], max_tokens: 100_000, stream: true })
  socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${apiKey}\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  await new Promise(resolve => socket.once('data', resolve))
  socket.destroy()
  await waitFor(() => countEnds('cancelled') === before + 1, 'the engine has stopped')
  await waitFor(() => deployment.entries[0].inFlight === 0, 'the box has no request in flight')
})

function countEnds (end: string): number {
  return deployment.engines.flatMap(engine => [...engine.runRecords.values()]).filter(record => record.end === end).length
}

test('1,200 concurrent requests are all answered, each with its own response', async () => {
  const requests = Array.from({ length: 1200 }, async (_, i) => {
    const content = `question ${i}`
    const response = await sendChat(deployment.url, { messages: [{ role: 'user', content }], max_tokens: 3 })
    if (response.status !== 200) return response.status
    const expected = composeAnswer({ model: 'm', messages: [{ role: 'user', content }], max_tokens: 3 }).words.join('')
    assert.equal(JSON.parse(response.body).choices[0].message.content, expected)
    return 200
  })
  const statuses = await Promise.all(requests)
  assert.ok(statuses.every(status => status === 200 || status === 503), String(new Set(statuses)))
  assert.ok(statuses.filter(status => status === 200).length > 0)
  assert.equal(deployment.entries[0].violations, 0)
})

test('health and readiness probes succeed on a configured box', async () => {
  assert.equal((await send(deployment.url, '/healthz', null)).status, 200)
  assert.equal((await send(deployment.url, '/readyz', null)).status, 200)
})
