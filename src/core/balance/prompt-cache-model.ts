import type { PromptPart } from './work.js'

/**
 * Estimates which prompt parts an engine has cached, from what was sent to it. A part counts only if every part
 * before it is cached as well; the least recently used are evicted first, as in the engine.
 */
export class PromptCacheModel {
  #capacity: number
  #cached = new Map<string, number>()
  #tokens = 0

  /** `capacity`: assumed size of the cache, tokens. */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** Length of the cached prefix of a prompt, in tokens. */
  countCachedTokens (parts: readonly PromptPart[]): number {
    let tokens = 0
    for (const part of parts) {
      if (!this.#cached.has(part.id)) break
      tokens += part.tokens
    }
    return tokens
  }

  /** Records that a prompt was sent to the engine. */
  add (parts: readonly PromptPart[]): void {
    for (const { id, tokens } of parts) {
      const known = this.#cached.get(id)
      if (known !== undefined) this.#tokens -= known
      this.#cached.delete(id)
      this.#cached.set(id, tokens)
      this.#tokens += tokens
    }
    for (const [id, tokens] of this.#cached) {
      if (this.#tokens <= this.#capacity) return
      this.#cached.delete(id)
      this.#tokens -= tokens
    }
  }
}
