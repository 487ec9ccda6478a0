/** The slots of brittle endpoints that a box uses while no issuer gives them out. */

/** Fraction of an endpoint's slots that all boxes together use on their own. */
export const ownSlotShare = 0.5

/** An endpoint as a box sees it that decides on its own. */
export interface OwnSlotInput {
  readonly slots: number
  /** Number of boxes, including this one: all of them decide on their own at about the same time. */
  readonly boxes: number
  /** At least 0 and less than 1, drawn by each box: which boxes use a slot if there are fewer slots than boxes. */
  readonly draw: number
}

/** Most requests that the box may have in flight at the endpoint. */
export function countOwnSlots ({ slots, boxes, draw }: OwnSlotInput): number {
  return Math.floor(slots * ownSlotShare / boxes + draw)
}
