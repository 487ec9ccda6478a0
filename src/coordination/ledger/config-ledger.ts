/**
 * Configuration as a state machine on the replicated log: plans, confirmations
 * by compare-and-set on the base revision, and the result of every command, which
 * is returned again when the command is resent.
 */
import { applyChangesInPlace } from './document.js'
import type { Change, CommandId, Document, LedgerCommand, LedgerResult, Plan, Revision } from './ledger-types.js'

/** Limits on what is retained besides the document. */
export interface LedgerBounds {
  /** Number of revisions whose changes are retained for boxes that catch up. */
  readonly maxRevisions: number
  /** How long command results and unconfirmed plans are retained, ms. */
  readonly retentionMs: number
  /** Maximum number of retained command results. */
  readonly maxResults: number
}

interface RecordedResult {
  readonly digest: string
  readonly result: LedgerResult
  readonly time: number
}

/** The ledger as stored in a snapshot. */
export interface LedgerState {
  readonly document: Document
  readonly revision: number
  readonly recent: readonly Revision[]
  readonly plans: readonly Plan[]
  readonly confirmed: readonly (readonly [number, number])[]
  readonly answers: readonly (readonly [string, RecordedResult])[]
  readonly lastPlan: number
}

const emptyLedger: LedgerState = { document: {}, revision: 0, recent: [], plans: [], confirmed: [], answers: [], lastPlan: 0 }

export class ConfigLedger {
  #bounds: LedgerBounds
  /** The working copy, changed in place so that the cost of a change depends on its size only. */
  #sections: Record<string, Record<string, unknown>>
  /** Cached value of `document`; null after a change. */
  #cachedDocument: Document | null
  #revision: number
  #recentRevisions: Revision[]
  #plans: Map<number, Plan>
  #confirmed: Map<number, number>
  #results: Map<string, RecordedResult>
  #lastPlan: number

  constructor (bounds: LedgerBounds, state: LedgerState = emptyLedger) {
    this.#bounds = bounds
    this.#sections = copySections(state.document)
    this.#cachedDocument = null
    this.#revision = state.revision
    this.#recentRevisions = [...state.recent]
    this.#plans = new Map(state.plans.map(plan => [plan.number, plan]))
    this.#confirmed = new Map(state.confirmed)
    this.#results = new Map(state.answers)
    this.#lastPlan = state.lastPlan
  }

  /** The current document. The returned object is never modified. */
  get document (): Document {
    this.#cachedDocument ??= copySections(this.#sections)
    return this.#cachedDocument
  }

  get revision (): number { return this.#revision }

  /** Applies one command at the log entry's time `now`. */
  apply (command: LedgerCommand, now: number): LedgerResult {
    this.#evict(now)
    const key = formatCommandKey(command.id)
    const recorded = this.#results.get(key)
    if (recorded !== undefined) {
      return recorded.digest === command.id.digest ? recorded.result : { type: 'other-command' }
    }
    const result = this.#execute(command, now)
    this.#results.set(key, { digest: command.id.digest, result, time: now })
    return result
  }

  /** The accepted revisions after `revision`; null if some of them are no longer retained. */
  findSince (revision: number): Revision[] | null {
    if (revision > this.#revision) return []
    const since = this.#recentRevisions.filter(one => one.revision > revision)
    return since.length === this.#revision - revision ? since : null
  }

  save (): LedgerState {
    return {
      document: this.document,
      revision: this.#revision,
      recent: [...this.#recentRevisions],
      plans: [...this.#plans.values()],
      confirmed: [...this.#confirmed],
      answers: [...this.#results],
      lastPlan: this.#lastPlan
    }
  }

  #execute (command: LedgerCommand, now: number): LedgerResult {
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
    const confirmedRevision = this.#confirmed.get(number)
    if (confirmedRevision !== undefined) return { type: 'already-confirmed', plan: number, revision: confirmedRevision }
    const plan = this.#plans.get(number)
    if (plan === undefined) return { type: 'unknown-plan', plan: number }
    if (plan.base !== this.#revision) return this.#conflict(plan.base)
    this.#accept(plan, id.operator, now)
    return { type: 'accepted', revision: this.#revision }
  }

  #accept (plan: Plan, operator: string, now: number): void {
    applyChangesInPlace(this.#sections, plan.changes)
    this.#cachedDocument = null
    this.#revision += 1
    this.#recentRevisions.push({ revision: this.#revision, changes: plan.changes, operator, time: now })
    if (this.#recentRevisions.length > this.#bounds.maxRevisions) this.#recentRevisions.shift()
    this.#plans.delete(plan.number)
    this.#confirmed.set(plan.number, this.#revision)
  }

  #conflict (base: number): LedgerResult {
    const since = this.findSince(base) ?? this.#recentRevisions
    return { type: 'conflict', base, revision: this.#revision, since: since.flatMap(one => one.changes) }
  }

  #evict (now: number): void {
    for (const [key, recorded] of this.#results) {
      if (now - recorded.time <= this.#bounds.retentionMs && this.#results.size < this.#bounds.maxResults) break
      this.#results.delete(key)
    }
    for (const [number, plan] of this.#plans) {
      if (now - plan.time <= this.#bounds.retentionMs) break
      this.#plans.delete(number)
    }
    for (const number of this.#confirmed.keys()) {
      if (this.#confirmed.size <= this.#bounds.maxRevisions) break
      this.#confirmed.delete(number)
    }
  }
}

function copySections (document: Document): Record<string, Record<string, unknown>> {
  return Object.fromEntries(Object.entries(document).map(([section, items]) => [section, { ...items }]))
}

function formatCommandKey (id: CommandId): string {
  return JSON.stringify([id.operator, id.number])
}
