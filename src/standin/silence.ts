import { setTimeout as sleep } from 'node:timers/promises'

/** Times in which an endpoint writes nothing, like a suspended process: connections stay open, new requests wait, and it then goes on where it was. */
export class Silence {
  #end: Promise<void> | null = null

  get isActive (): boolean { return this.#end !== null }

  /** Falls silent for `ms`; replaces a silence that is active. Resolves at its end. */
  async start (ms: number): Promise<void> {
    const end = sleep(ms, undefined, { ref: false })
    this.#end = end
    await end
    if (this.#end === end) this.#end = null
  }

  /** Resolves once no silence is active. */
  async awaitEnd (): Promise<void> {
    while (this.#end !== null) await this.#end
  }
}
