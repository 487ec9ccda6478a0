import type { EndpointId } from '../ids.js'
import type { PromptReport } from './box-load.js'

/**
 * Maximum number of prompts over all engines: a few thousand shared parts on one or two engines each, in about a
 * megabyte. The oldest are evicted; a box that has just started may have evicted prompts read again, by any
 * engine.
 */
const maxPrompts = 8000

/** Index of which engine has cached which shared prompt, as reported by boxes; given to boxes that start. */
export class PromptIndex {
  #prompts = new Map<string, PromptReport>()
  #version = 0

  /** Increases with each change. */
  get version (): number { return this.#version }
  get isEmpty (): boolean { return this.#prompts.size === 0 }
  get prompts (): PromptReport[] { return [...this.#prompts.values()] }

  /** Drops the prompts of an endpoint that has restarted and lost its cache. */
  forget (endpoint: EndpointId): void {
    for (const [key, [holder]] of this.#prompts) if (holder === endpoint && this.#prompts.delete(key)) this.#version += 1
  }

  /** Adds reported prompts; those still being read are not cached yet and are skipped. */
  note (prompts: readonly PromptReport[]): void {
    for (const prompt of prompts) {
      const [endpoint, parts, isKept] = prompt
      if (!isKept || parts.length === 0) continue
      const key = `${endpoint} ${parts[parts.length - 1][0]}`
      if (!this.#prompts.delete(key)) this.#version += 1
      this.#prompts.set(key, prompt)
    }
    for (const key of this.#prompts.keys()) {
      if (this.#prompts.size <= maxPrompts) return
      this.#prompts.delete(key)
    }
  }
}
