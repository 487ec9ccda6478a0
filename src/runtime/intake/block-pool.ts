/**
 * Blocks of memory in which bodies arrive. They are used again: one that is left to the garbage collector stays resident
 * until it runs, and many bodies that arrive at once would take several times their size.
 */

export const blockBytes = 32 * 1024

export class BlockPool {
  #free: Buffer[] = []
  #maxFree: number

  /** `maxFreeBytes`: kept of blocks that are not in use. */
  constructor (maxFreeBytes: number) {
    this.#maxFree = Math.floor(maxFreeBytes / blockBytes)
  }

  take (): Buffer { return this.#free.pop() ?? Buffer.allocUnsafeSlow(blockBytes) }

  /** Nobody else may refer to the block any more. */
  putBack (block: Buffer): void {
    if (this.#free.length < this.#maxFree) this.#free.push(block)
  }
}
