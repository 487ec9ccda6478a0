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
export class FencedOrderHandler {
  #checksFencing: boolean
  #highestFence = 0
  readonly acceptedOrders: OrderBody[] = []
  readonly models: Set<string>

  constructor (checksFencing: boolean, models: readonly string[]) {
    this.#checksFencing = checksFencing
    this.models = new Set(models)
  }

  handle (order: OrderBody): OrderAnswer {
    if (this.#checksFencing && order.fence < this.#highestFence) return { ok: false, newest: this.#highestFence }
    this.#highestFence = Math.max(this.#highestFence, order.fence)
    this.acceptedOrders.push(order)
    const { type, model } = order.action
    if (model !== undefined && type === 'load') this.models.add(model)
    if (model !== undefined && type === 'unload') this.models.delete(model)
    return { ok: true }
  }
}
