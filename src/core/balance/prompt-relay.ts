import type { ReadPrompt } from './load-word.js'

/** How often a prompt is passed on: a datagram may be lost, two in a row seldom are. */
const passTimes = 2
/** A prompt that is heard of for longer than this was read once more, ms: boxes tell each for 200 ms, and words are late. */
const knownMs = 600

interface Passed {
  readonly prompt: ReadPrompt
  readonly heardAt: number
  left: number
}

/** Passes on word of prompts, each a few times, however often it is told. */
export class PromptRelay {
  #known = new Map<string, Passed>()

  /** Takes in prompts that were told; returns those that are new. */
  take (prompts: readonly ReadPrompt[], at: number): ReadPrompt[] {
    this.#forgetOld(at)
    const fresh: ReadPrompt[] = []
    for (const prompt of prompts) {
      const key = JSON.stringify(prompt)
      if (this.#known.has(key)) continue
      this.#known.set(key, { prompt, heardAt: at, left: passTimes })
      fresh.push(prompt)
    }
    return fresh
  }

  /** The prompts to pass on now. */
  draw (): ReadPrompt[] {
    const drawn: ReadPrompt[] = []
    for (const passed of this.#known.values()) {
      if (passed.left === 0) continue
      passed.left -= 1
      drawn.push(passed.prompt)
    }
    return drawn
  }

  // The map keeps the order in which they were first heard of.
  #forgetOld (at: number): void {
    for (const [key, { heardAt }] of this.#known) {
      if (at - heardAt <= knownMs) return
      this.#known.delete(key)
    }
  }
}
