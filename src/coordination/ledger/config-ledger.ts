/**
 * Configuration as a state machine of the replicated log: plans, confirmations
 * by compare-and-set on the base revision, and the first answer to every
 * command, given again when the command is resent.
 */
import { makeChanges } from './document.js'
import type { Change, CommandId, Document, LedgerCommand, LedgerResult, Plan, Revision } from './ledger-types.js'

/** Bounds on what is kept beside the document. */
export interface LedgerBounds {
  /** Revisions whose changes are kept for boxes that catch up. */
  readonly revisions: number
  /** How long first answers and unconfirmed plans are kept, ms. */
  readonly keepMs: number
  /** First answers kept at most. */
  readonly answers: number
}

interface FirstAnswer {
  readonly digest: string
  readonly result: LedgerResult
  readonly time: number
}

/** The ledger as it stands in a snapshot. */
export interface LedgerState {
  readonly document: Document
  readonly revision: number
  readonly recent: readonly Revision[]
  readonly plans: readonly Plan[]
  readonly confirmed: readonly (readonly [number, number])[]
  readonly answers: readonly (readonly [string, FirstAnswer])[]
  readonly lastPlan: number
}

const emptyLedger: LedgerState = { document: {}, revision: 0, recent: [], plans: [], confirmed: [], answers: [], lastPlan: 0 }

export class ConfigLedger {
  #bounds: LedgerBounds
  /** This ledger's own sections, changed in place: a change costs what it touches. */
  #sections: Record<string, Record<string, unknown>>
  /** What `document` gave last, until the next change. */
  #document: Document | null
  #revision: number
  #recent: Revision[]
  #plans: Map<number, Plan>
  #confirmed: Map<number, number>
  #answers: Map<string, FirstAnswer>
  #lastPlan: number

  constructor (bounds: LedgerBounds, state: LedgerState = emptyLedger) {
    this.#bounds = bounds
    this.#sections = copySections(state.document)
    this.#document = null
    this.#revision = state.revision
    this.#recent = [...state.recent]
    this.#plans = new Map(state.plans.map(plan => [plan.number, plan]))
    this.#confirmed = new Map(state.confirmed)
    this.#answers = new Map(state.answers)
    this.#lastPlan = state.lastPlan
  }

  /** The document in force. What is given never changes later. */
  get document (): Document {
    this.#document ??= copySections(this.#sections)
    return this.#document
  }

  get revision (): number { return this.#revision }

  /** Carries out one command at agreed time `now`. */
  apply (command: LedgerCommand, now: number): LedgerResult {
    this.#forget(now)
    const key = formatCommand(command.id)
    const first = this.#answers.get(key)
    if (first !== undefined) {
      return first.digest === command.id.digest ? first.result : { type: 'other-command' }
    }
    const result = this.#run(command, now)
    this.#answers.set(key, { digest: command.id.digest, result, time: now })
    return result
  }

  /** The accepted revisions after `revision`; null where they are kept no more. */
  findSince (revision: number): Revision[] | null {
    if (revision > this.#revision) return []
    const since = this.#recent.filter(one => one.revision > revision)
    return since.length === this.#revision - revision ? since : null
  }

  save (): LedgerState {
    return {
      document: this.document,
      revision: this.#revision,
      recent: [...this.#recent],
      plans: [...this.#plans.values()],
      confirmed: [...this.#confirmed],
      answers: [...this.#answers],
      lastPlan: this.#lastPlan
    }
  }

  #run (command: LedgerCommand, now: number): LedgerResult {
    switch (command.type) {
      case 'plan': return this.#plan(command.id, command.base, command.changes, now)
      case 'confirm': return this.#confirm(command.id, command.plan, now)
    }
  }

  #plan (id: CommandId, base: number, changes: readonly Change[], now: number): LedgerResult {
    if (base !== this.#revision) return this.#conflict(base)
    this.#lastPlan += 1
    const plan: Plan = { number: this.#lastPlan, base, operator: id.operator, changes, time: now }
    this.#plans.set(plan.number, plan)
    return { type: 'planned', plan: plan.number, base, changes }
  }

  #confirm (id: CommandId, number: number, now: number): LedgerResult {
    const done = this.#confirmed.get(number)
    if (done !== undefined) return { type: 'already-confirmed', plan: number, revision: done }
    const plan = this.#plans.get(number)
    if (plan === undefined) return { type: 'unknown-plan', plan: number }
    if (plan.base !== this.#revision) return this.#conflict(plan.base)
    this.#accept(plan, id.operator, now)
    return { type: 'accepted', revision: this.#revision }
  }

  #accept (plan: Plan, operator: string, now: number): void {
    makeChanges(this.#sections, plan.changes)
    this.#document = null
    this.#revision += 1
    this.#recent.push({ revision: this.#revision, changes: plan.changes, operator, time: now })
    if (this.#recent.length > this.#bounds.revisions) this.#recent.shift()
    this.#plans.delete(plan.number)
    this.#confirmed.set(plan.number, this.#revision)
  }

  #conflict (base: number): LedgerResult {
    const since = this.findSince(base) ?? this.#recent
    return { type: 'conflict', base, revision: this.#revision, since: since.flatMap(one => one.changes) }
  }

  #forget (now: number): void {
    for (const [key, answer] of this.#answers) {
      if (now - answer.time <= this.#bounds.keepMs && this.#answers.size < this.#bounds.answers) break
      this.#answers.delete(key)
    }
    for (const [number, plan] of this.#plans) {
      if (now - plan.time <= this.#bounds.keepMs) break
      this.#plans.delete(number)
    }
    for (const number of this.#confirmed.keys()) {
      if (this.#confirmed.size <= this.#bounds.revisions) break
      this.#confirmed.delete(number)
    }
  }
}

function copySections (document: Document): Record<string, Record<string, unknown>> {
  return Object.fromEntries(Object.entries(document).map(([section, items]) => [section, { ...items }]))
}

function formatCommand (id: CommandId): string {
  return JSON.stringify([id.operator, id.number])
}
