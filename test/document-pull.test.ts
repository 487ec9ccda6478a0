import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DocumentPull } from '../src/coordination/index.js'
import type { HolderState, PullReason } from '../src/coordination/index.js'

type Step =
  | { readonly at: number, readonly advertised: string, readonly version: number }
  | { readonly at: number, readonly answered: number }
  | { readonly at: number, readonly ended: string }
  | { readonly at: number, readonly silent: string }
  /** The request expected at this time, or null. */
  | { readonly at: number, readonly asks: readonly [holder: string, why: PullReason] | null }

const timeouts = { initialMs: 1000, maxMs: 3000 }

/** Holders whose name starts with `near` are in the requesting box's zone. */
const cases: readonly { readonly name: string, readonly random?: number, readonly steps: readonly Step[] }[] = [
  { name: 'no request while no newer version is advertised', steps: [{ at: 0, asks: null }, { at: 1, advertised: 'far', version: 0 }, { at: 2, asks: null }] },
  { name: 'a near holder is preferred to a far one', steps: [{ at: 0, advertised: 'far', version: 3 }, { at: 0, advertised: 'near', version: 3 }, { at: 0, asks: ['near', 'newer'] }] },
  { name: 'ties between holders are broken at random', random: 0.9, steps: [{ at: 0, advertised: 'near', version: 3 }, { at: 0, advertised: 'near-too', version: 3 }, { at: 0, asks: ['near-too', 'newer'] }] },
  { name: 'a far holder with a newer version is preferred to a near one', steps: [{ at: 0, advertised: 'near', version: 3 }, { at: 0, advertised: 'far', version: 4 }, { at: 0, asks: ['far', 'newer'] }] },
  {
    name: 'one request at a time: versions advertised meanwhile wait for the answer',
    steps: [
      { at: 0, advertised: 'near', version: 14 }, { at: 0, asks: ['near', 'newer'] },
      { at: 150, advertised: 'near', version: 15 }, { at: 150, asks: null },
      { at: 300, advertised: 'far', version: 17 }, { at: 900, asks: null },
      { at: 950, answered: 15 }, { at: 950, asks: ['far', 'newer'] }
    ]
  },
  {
    name: 'a responsive holder is given time to answer, and the timeout doubles with each attempt',
    steps: [
      { at: 0, advertised: 'near', version: 3 }, { at: 0, advertised: 'far', version: 3 }, { at: 0, asks: ['near', 'newer'] },
      { at: 999, asks: null }, { at: 1000, asks: ['far', 'overdue'] }, { at: 2999, asks: null }, { at: 3000, asks: ['near', 'overdue'] },
      { at: 5999, asks: null }, { at: 6000, asks: ['near', 'overdue'] }
    ]
  },
  {
    name: 'another holder is asked at once if the link of the first closes',
    steps: [
      { at: 0, advertised: 'near', version: 3 }, { at: 0, advertised: 'far', version: 3 }, { at: 0, asks: ['near', 'newer'] },
      { at: 10, ended: 'near' }, { at: 10, asks: ['far', 'ended'] }, { at: 20, asks: null }
    ]
  },
  {
    name: 'another holder is asked if the first goes silent, and none if all are silent',
    steps: [
      { at: 0, advertised: 'near', version: 3 }, { at: 0, advertised: 'far', version: 3 }, { at: 0, asks: ['near', 'newer'] },
      { at: 10, silent: 'near' }, { at: 10, asks: ['far', 'silent'] }, { at: 20, silent: 'far' }, { at: 20, asks: null }
    ]
  },
  {
    name: 'after an unusable answer the same holder is asked again',
    steps: [{ at: 0, advertised: 'near', version: 3 }, { at: 0, asks: ['near', 'newer'] }, { at: 9, answered: 0 }, { at: 9, asks: ['near', 'newer'] }]
  }
]

for (const { name, random = 0, steps } of cases) {
  test(name, () => {
    const pull = new DocumentPull<string>(timeouts)
    const silent = new Set<string>()
    let held = 0
    const getState = (holder: string): HolderState => ({ isResponsive: !silent.has(holder), isNear: holder.startsWith('near') })
    for (const step of steps) {
      if ('advertised' in step) pull.noteAdvertised(step.advertised, step.version)
      else if ('ended' in step) pull.forget(step.ended)
      else if ('silent' in step) silent.add(step.silent)
      else if ('answered' in step) {
        held = step.answered
        pull.noteAnswer()
      } else {
        const choice = pull.choose(held, step.at, random, getState)
        assert.deepEqual(choice === null ? null : [choice.holder, choice.why], step.asks, `at ${step.at}`)
      }
    }
  })
}
