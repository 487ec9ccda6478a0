/** An order with its fencing token, as sent to an engine. */
export interface OrderBody {
  readonly fence: number
  readonly action: { readonly type: string, readonly model?: string }
}

/** The answer to an order; `newest` is the highest fencing token seen. */
export type OrderAnswer =
  | { readonly ok: true }
  | { readonly ok: false, readonly newest: number }

/** Handles an engine's orders to load and unload models. With `checksFencing`, orders with a lower fencing token than an earlier one are refused. */
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
