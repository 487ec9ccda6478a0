import type { PromptReport } from './box-load.js'

/** How often a prompt report is sent: a datagram may be lost, but rarely two in a row. */
const relayCount = 2
/** A prompt that is still reported after this time was read again, ms: boxes repeat each report for 200 ms, and messages may be delayed. */
const retentionMs = 600

interface RelayedPrompt {
  readonly prompt: PromptReport
  readonly receivedAt: number
  sendsLeft: number
}

/** Relays prompt reports, each a fixed number of times, however often it is received. */
export class PromptRelay {
  #known = new Map<string, RelayedPrompt>()

  /** Adds reported prompts; returns those that are new. */
  addReported (prompts: readonly PromptReport[], receivedAt: number): PromptReport[] {
    this.#forgetOld(receivedAt)
    const added: PromptReport[] = []
    for (const prompt of prompts) {
      const key = JSON.stringify(prompt)
      if (this.#known.has(key)) continue
      this.#known.set(key, { prompt, receivedAt, sendsLeft: relayCount })
      added.push(prompt)
    }
    return added
  }

  /** The prompts to send now; counts as one sending of each. */
  takePending (): PromptReport[] {
    const pending: PromptReport[] = []
    for (const relayed of this.#known.values()) {
      if (relayed.sendsLeft === 0) continue
      relayed.sendsLeft -= 1
      pending.push(relayed.prompt)
    }
    return pending
  }

  // The map iterates in the order in which reports were first received.
  #forgetOld (at: number): void {
    for (const [key, { receivedAt }] of this.#known) {
      if (at - receivedAt <= retentionMs) return
      this.#known.delete(key)
    }
  }
}
