/**
 * The views of the endpoints that this box may use. Each stands for one incarnation of its endpoint. While requests of this
 * box are in flight there it outlasts a time in which the endpoint counts as lost: one that is heard again is still running them.
 */
import type { EndpointId } from '../ids.js'
import { isOtherIncarnation } from './endpoint-directory.js'
import type { EndpointRecord } from './endpoint-record.js'
import type { EndpointView } from './endpoint-view.js'

export class EndpointViews {
  #create: (record: EndpointRecord) => EndpointView
  #views = new Map<EndpointId, EndpointView>()
  /** Views of lost endpoints with requests of this box in flight. */
  #lost = new Map<EndpointId, EndpointView>()

  constructor (create: (record: EndpointRecord) => EndpointView) { this.#create = create }

  get all (): IterableIterator<EndpointView> { return this.#views.values() }
  find (id: EndpointId): EndpointView | undefined { return this.#views.get(id) }

  /** Applies a newer record of an endpoint. */
  apply (record: EndpointRecord): void {
    const known = this.#views.get(record.id) ?? this.#lost.get(record.id)
    const current = known === undefined || isOtherIncarnation(record, known.record) ? null : known
    this.#lost.delete(record.id)
    switch (record.stage) {
      case 'gone':
        this.#views.delete(record.id)
        return
      case 'lost':
        this.#views.delete(record.id)
        for (const [id, { ownRunning }] of this.#lost) if (ownRunning === 0) this.#lost.delete(id)
        if (current !== null && current.ownRunning > 0) this.#lost.set(record.id, current)
        return
      case 'ready':
      case 'draining':
        if (current !== null) current.record = record
        this.#views.set(record.id, current ?? this.#create(record))
    }
  }

  /** Creates the views for which `isDue` holds anew. */
  renew (isDue: (view: EndpointView) => boolean): void {
    for (const view of [...this.all].filter(isDue)) this.#views.set(view.id, this.#create(view.record))
  }

  /** True if a record is of another incarnation than the known one. */
  isNewIncarnation (record: EndpointRecord): boolean {
    const known = this.#views.get(record.id)
    return known !== undefined && isOtherIncarnation(record, known.record)
  }

  /** True if a view belongs to an earlier incarnation of its endpoint. */
  isReplaced ({ id, record }: EndpointView): boolean {
    const current = this.#views.get(id)
    return current !== undefined && isOtherIncarnation(current.record, record)
  }
}
