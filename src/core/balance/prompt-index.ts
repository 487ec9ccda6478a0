import type { EndpointId } from '../ids.js'
import type { ReadPrompt } from './load-word.js'

/**
 * Prompts that are remembered, over all engines: some thousand shared parts at one or two engines each, in about
 * a megabyte. The oldest give way: what is forgotten is read anew by whichever engine a box that has just started chooses.
 */
const maxPrompts = 8000

/** Which engine holds which shared prompt, as boxes told it, for a box that starts anew. */
export class PromptBook {
  #prompts = new Map<string, ReadPrompt>()
  #version = 0

  /** Rises with each change. */
  get version (): number { return this.#version }
  get isEmpty (): boolean { return this.#prompts.size === 0 }
  get prompts (): ReadPrompt[] { return [...this.#prompts.values()] }

  /** Forgets what an endpoint held: it has started again, and holds nothing. */
  forget (endpoint: EndpointId): void {
    for (const [key, [holder]] of this.#prompts) if (holder === endpoint && this.#prompts.delete(key)) this.#version += 1
  }

  /** Notes what boxes told; what is still being read isn't held yet. */
  note (prompts: readonly ReadPrompt[]): void {
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
