import assert from 'node:assert/strict'
import { test } from 'node:test'
import { brandId } from '../src/core/index.js'
import { createFleet, createRecord, createWork, engineService } from './support/fleet-builder.js'

const prompt = createWork({ pauseMs: 600, cost: { promptTokens: 2000, maxTokens: 10, parts: [] } })

// Guards against treating a busy engine as idle because a prompt whose first event is overdue counts as read.
const cases: readonly { readonly name: string, readonly elapsedRatio: number, readonly hasFirstEvent: boolean, readonly expectedTokens: number }[] = [
  { name: 'just sent', elapsedRatio: 0, hasFirstEvent: false, expectedTokens: 2000 },
  { name: 'half read', elapsedRatio: 0.4, hasFirstEvent: false, expectedTokens: 1000 },
  { name: 'first event overdue by at least the read time', elapsedRatio: 3, hasFirstEvent: false, expectedTokens: 2000 },
  { name: 'first event received late', elapsedRatio: 3, hasFirstEvent: true, expectedTokens: 0 }
]

for (const { name, elapsedRatio, hasFirstEvent, expectedTokens } of cases) {
  test(`counts the unread tokens of a prompt: ${name}`, () => {
    const view = createFleet([createRecord('e1')], engineService).findView(brandId('e1'))
    assert.ok(view !== undefined)
    const placed = view.place(prompt, { readTokens: 2000, fetch: null }, 0)
    const at = elapsedRatio * view.estimateAnswerMs(placed)
    if (hasFirstEvent) view.noteFirst(placed, at)
    assert.ok(Math.abs(view.countTokensAhead(Infinity, at) - expectedTokens) < 100, `${view.countTokensAhead(Infinity, at)} tokens`)
  })
}
