import type { ReadPrompt } from './load-word.js'

/** How often a prompt is passed on: a datagram may be lost, two in a row seldom are. */
const relayCount = 2
/** A prompt that is heard of for longer than this was read once more, ms: boxes tell each for 200 ms, and words are late. */
const retentionMs = 600

interface RelayedPrompt {
  readonly prompt: ReadPrompt
  readonly receivedAt: number
  sendsLeft: number
}

/** Passes on word of prompts, each a few times, however often it is told. */
export class PromptRelay {
  #known = new Map<string, RelayedPrompt>()

  /** Takes in prompts that were told; returns those that are new. */
  take (prompts: readonly ReadPrompt[], receivedAt: number): ReadPrompt[] {
    this.#forgetOld(receivedAt)
    const fresh: ReadPrompt[] = []
    for (const prompt of prompts) {
      const key = JSON.stringify(prompt)
      if (this.#known.has(key)) continue
      this.#known.set(key, { prompt, receivedAt, sendsLeft: relayCount })
      fresh.push(prompt)
    }
    return fresh
  }

  /** The prompts to pass on now. */
  draw (): ReadPrompt[] {
    const drawn: ReadPrompt[] = []
    for (const passed of this.#known.values()) {
      if (passed.sendsLeft === 0) continue
      passed.sendsLeft -= 1
      drawn.push(passed.prompt)
    }
    return drawn
  }

  // The map keeps the order in which they were first heard of.
  #forgetOld (at: number): void {
    for (const [key, { receivedAt: heardAt }] of this.#known) {
      if (at - heardAt <= retentionMs) return
      this.#known.delete(key)
    }
  }
}
