/**
 * Whether this deployment needs the measures against contention. Deployments whose settings don't ask for them are
 * served without them.
 */

/** `auto`: on if the platform marks the deployment, or once boxes of different size are known. */
export type ContentionMode = 'off' | 'on' | 'auto'

/** The smallest and largest CPU share of some boxes, cores. */
export type CpuRange = readonly [least: number, most: number]

/** Why the measures are on. */
export type ContentionReason = 'settings' | 'feature' | 'uneven-boxes'

export interface ContentionInput {
  readonly mode: ContentionMode
  /** CPU share of this box, cores; null if it isn't configured. */
  readonly cpuShare: number | null
  /** True if the platform marks the deployment as contended. */
  readonly isMarked: boolean
}

/** Boxes count as different if the largest has at least this multiple of the smallest one's CPU share. */
const unevenRatio = 1.5

export class ContentionSwitch {
  #input: ContentionInput
  #isUneven = false

  constructor (input: ContentionInput = { mode: 'off', cpuShare: null, isMarked: false }) {
    this.#input = input
  }

  /** Null while the measures are off. */
  get reason (): ContentionReason | null {
    switch (this.#input.mode) {
      case 'off': return null
      case 'on': return 'settings'
      case 'auto': return this.#findReason()
    }
  }

  #findReason (): ContentionReason | null {
    if (this.#input.isMarked) return 'feature'
    return this.#isUneven ? 'uneven-boxes' : null
  }

  get isOn (): boolean { return this.reason !== null }

  /** The CPU share that this box reports to the others; undefined if they need not know it. */
  get reported (): CpuRange | undefined {
    const { mode, cpuShare } = this.#input
    return mode === 'auto' && cpuShare !== null ? [cpuShare, cpuShare] : undefined
  }

  /** Notes the CPU shares of other boxes. Boxes that were once known to differ count as different from then on. */
  note (others: CpuRange | undefined): void {
    const own = this.reported
    if (own === undefined || others === undefined) return
    const [least, most] = joinCpuRanges(own, others)
    this.#isUneven ||= most >= least * unevenRatio
  }
}

/** The range that covers both. */
export function joinCpuRanges ([leastA, mostA]: CpuRange, [leastB, mostB]: CpuRange): CpuRange {
  return [Math.min(leastA, leastB), Math.max(mostA, mostB)]
}
