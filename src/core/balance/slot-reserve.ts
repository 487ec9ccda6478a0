/**
 * The fraction of a plain service's slots that is kept free for workspaces within their share. It follows the refusals of
 * full endpoints: how many slots are free is known only from totals that lag, and boxes that hear the same totals choose
 * the same endpoint. The load that it answers: 30 slots, five boxes, totals 50 ms old; with 0.08 reserved, one request in
 * five of the workspaces within their share reached two full endpoints.
 */

/** Bounds: at least, as slots fill and empty at random; at most, as refusals by a broken endpoint must not stop everyone over their share. */
const minShare = 0.05
const maxShare = 0.3
/** Change after a refusal by a full endpoint. */
const step = 0.02
/** Fraction of the sends that may reach a full endpoint: a request has two sends. */
const targetFullShare = 0.05

export class SlotReserve {
  #share = minShare

  /** Fraction of the slots. */
  get share (): number { return this.#share }

  /** Notes the outcome of a send; `isFull`: the endpoint refused it as full. */
  note (isFull: boolean): void {
    this.#share = Math.min(maxShare, Math.max(minShare, this.#share + step * (isFull ? 1 - targetFullShare : -targetFullShare)))
  }
}
