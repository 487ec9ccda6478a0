/** What an engine does with fenced orders. */
export interface OrderBody {
  readonly fence: number
  readonly action: { readonly type: string, readonly model?: string }
}

/** The answer to an order. */
export type OrderAnswer =
  | { readonly ok: true }
  | { readonly ok: false, readonly newest: number }

/** Takes orders; where it checks, an order with a lower number is refused. */
export class OrderDesk {
  #checks: boolean
  #newest = 0
  readonly taken: OrderBody[] = []
  readonly models: Set<string>

  constructor (checks: boolean, models: readonly string[]) {
    this.#checks = checks
    this.models = new Set(models)
  }

  take (order: OrderBody): OrderAnswer {
    if (this.#checks && order.fence < this.#newest) return { ok: false, newest: this.#newest }
    this.#newest = Math.max(this.#newest, order.fence)
    this.taken.push(order)
    const { type, model } = order.action
    if (model !== undefined && type === 'load') this.models.add(model)
    if (model !== undefined && type === 'unload') this.models.delete(model)
    return { ok: true }
  }
}
