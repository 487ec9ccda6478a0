import type { PromptPart } from './work.js'

/**
 * Which parts of prompts an engine is believed to hold, from what was sent to
 * it. A part counts only where every part before it is held as well; those used
 * longest ago give way, as in the engine.
 */
export class PromptMemory {
  #capacity: number
  #held = new Map<string, number>()
  #tokens = 0

  /** `capacity`: tokens that are believed to be kept. */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** Tokens at the prompt's beginning that need not be read again. */
  countHeld (parts: readonly PromptPart[]): number {
    let tokens = 0
    for (const part of parts) {
      if (!this.#held.has(part.id)) break
      tokens += part.tokens
    }
    return tokens
  }

  /** Notes that a prompt was sent to the engine. */
  add (parts: readonly PromptPart[]): void {
    for (const { id, tokens } of parts) {
      const known = this.#held.get(id)
      if (known !== undefined) this.#tokens -= known
      this.#held.delete(id)
      this.#held.set(id, tokens)
      this.#tokens += tokens
    }
    for (const [id, tokens] of this.#held) {
      if (this.#tokens <= this.#capacity) return
      this.#held.delete(id)
      this.#tokens -= tokens
    }
  }
}
