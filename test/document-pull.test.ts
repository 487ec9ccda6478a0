import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DocumentPull } from '../src/coordination/index.js'
import type { HolderState, PullReason } from '../src/coordination/index.js'

type Step =
  | { readonly at: number, readonly named: string, readonly version: number }
  | { readonly at: number, readonly answered: number }
  | { readonly at: number, readonly ended: string }
  | { readonly at: number, readonly silent: string }
  /** What is asked at this time: of whom and why, or nobody. */
  | { readonly at: number, readonly asks: readonly [holder: string, why: PullReason] | null }

const patience = { firstMs: 1000, longestMs: 3000 }

/** `near` and `near-too` are of the asker's zone. */
const cases: readonly { readonly name: string, readonly draw?: number, readonly steps: readonly Step[] }[] = [
  { name: 'nobody is asked while no newer version is named', steps: [{ at: 0, asks: null }, { at: 1, named: 'far', version: 0 }, { at: 2, asks: null }] },
  { name: 'a near holder is asked before a far one', steps: [{ at: 0, named: 'far', version: 3 }, { at: 0, named: 'near', version: 3 }, { at: 0, asks: ['near', 'newer'] }] },
  { name: 'holders that are alike are asked by lot', draw: 0.9, steps: [{ at: 0, named: 'near', version: 3 }, { at: 0, named: 'near-too', version: 3 }, { at: 0, asks: ['near-too', 'newer'] }] },
  { name: 'a far holder of a newer version goes before a near one', steps: [{ at: 0, named: 'near', version: 3 }, { at: 0, named: 'far', version: 4 }, { at: 0, asks: ['far', 'newer'] }] },
  {
    name: 'one copy at a time: versions that are named meanwhile wait for the answer',
    steps: [
      { at: 0, named: 'near', version: 14 }, { at: 0, asks: ['near', 'newer'] },
      { at: 150, named: 'near', version: 15 }, { at: 150, asks: null },
      { at: 300, named: 'far', version: 17 }, { at: 900, asks: null },
      { at: 950, answered: 15 }, { at: 950, asks: ['far', 'newer'] }
    ]
  },
  {
    name: 'a holder that lives is waited for, each next one twice as long',
    steps: [
      { at: 0, named: 'near', version: 3 }, { at: 0, named: 'far', version: 3 }, { at: 0, asks: ['near', 'newer'] },
      { at: 999, asks: null }, { at: 1000, asks: ['far', 'overdue'] }, { at: 2999, asks: null }, { at: 3000, asks: ['near', 'overdue'] },
      { at: 5999, asks: null }, { at: 6000, asks: ['near', 'overdue'] }
    ]
  },
  {
    name: 'another is asked at once where the link of the first ends',
    steps: [
      { at: 0, named: 'near', version: 3 }, { at: 0, named: 'far', version: 3 }, { at: 0, asks: ['near', 'newer'] },
      { at: 10, ended: 'near' }, { at: 10, asks: ['far', 'ended'] }, { at: 20, asks: null }
    ]
  },
  {
    name: 'another is asked where the first falls silent, and the first again only where none is left',
    steps: [
      { at: 0, named: 'near', version: 3 }, { at: 0, named: 'far', version: 3 }, { at: 0, asks: ['near', 'newer'] },
      { at: 10, silent: 'near' }, { at: 10, asks: ['far', 'silent'] }, { at: 20, silent: 'far' }, { at: 20, asks: null }
    ]
  },
  {
    name: 'after an answer that was of no use the same holder is asked again',
    steps: [{ at: 0, named: 'near', version: 3 }, { at: 0, asks: ['near', 'newer'] }, { at: 9, answered: 0 }, { at: 9, asks: ['near', 'newer'] }]
  }
]

for (const { name, draw = 0, steps } of cases) {
  test(name, () => {
    const pull = new DocumentPull<string>(patience)
    const silent = new Set<string>()
    let held = 0
    const look = (holder: string): HolderState => ({ isHeard: !silent.has(holder), isNear: holder.startsWith('near') })
    for (const step of steps) {
      if ('named' in step) pull.noteNamed(step.named, step.version)
      else if ('ended' in step) pull.forget(step.ended)
      else if ('silent' in step) silent.add(step.silent)
      else if ('answered' in step) {
        held = step.answered
        pull.noteAnswer()
      } else {
        const choice = pull.choose(held, step.at, draw, look)
        assert.deepEqual(choice === null ? null : [choice.holder, choice.why], step.asks, `at ${step.at}`)
      }
    }
  })
}
