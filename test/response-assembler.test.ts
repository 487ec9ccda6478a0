import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ResponseAssembler } from '../src/tasks/index.js'
import type { EventKind } from '../src/tasks/index.js'

// Guards against an engine whose events are valid JSON but no chunks: an exception in a stream's listener ends the entry box.
const cases: readonly { readonly data: string, readonly kind: EventKind }[] = [
  { data: 'null', kind: 'broken' },
  { data: '5', kind: 'broken' },
  { data: '"text"', kind: 'broken' },
  { data: '[]', kind: 'broken' },
  { data: '{"choices":5}', kind: 'broken' },
  { data: '{"choices":{}}', kind: 'broken' },
  { data: '{"choices":[null]}', kind: 'broken' },
  { data: '{"choices":[5]}', kind: 'broken' },
  { data: '{"choices":null}', kind: 'text' },
  { data: '{"choices":[{"delta":null}]}', kind: 'text' },
  { data: '{"choices":[],"usage":{"total_tokens":1}}', kind: 'usage' },
  { data: '{"choices":[{"delta":{"content":"a"}}]}', kind: 'text' }
]

for (const { data, kind } of cases) {
  test(`an event with data ${data} is classified as ${kind}`, () => {
    assert.equal(new ResponseAssembler().add(Buffer.from(`data: ${data}\n\n`)), kind)
  })
}
