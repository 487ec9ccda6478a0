import type { EndpointId, ReadPrompt } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'

/** Prompts in one message at most, but for what one engine holds: others may pass between two messages. */
const maxBatchSize = 400
/** Pause between batches, ms: one takes as long on a small box's link, which also carries its first requests. */
const batchIntervalMs = 20
/** The same messages serve all that ask within so long, ms: hundreds of gateways that start together would keep a registry busy for seconds. */
const cacheMs = 1000

/** Parts what engines hold into batches; what one engine holds is never parted, as it replaces what was known of it. */
export function listBatches (prompts: readonly ReadPrompt[]): ReadPrompt[][] {
  const byEngine = new Map<EndpointId, ReadPrompt[]>()
  for (const prompt of prompts) {
    const [endpoint] = prompt
    const held = byEngine.get(endpoint)
    if (held === undefined) byEngine.set(endpoint, [prompt])
    else held.push(prompt)
  }
  const batches: ReadPrompt[][] = []
  for (const held of byEngine.values()) {
    const last = batches.at(-1)
    if (last === undefined || last.length + held.length > maxBatchSize) batches.push([...held])
    else last.push(...held)
  }
  return batches
}

/** The messages that tell a box all that engines hold. */
export class PromptBatches {
  #listPrompts: () => readonly ReadPrompt[]
  #messages: readonly RouteMessage[] = []
  #composedAt = -Infinity

  /** `list`: what engines hold now. */
  constructor (listPrompts: () => readonly ReadPrompt[]) {
    this.#listPrompts = listPrompts
  }

  /** Tells a box, one batch after another; `at`: now, ms. */
  sendAll (link: Link<RouteMessage>, at: number): void {
    for (const [i, message] of this.compose(at).entries()) setTimeout(() => link.send(message), i * batchIntervalMs)
  }

  /** The messages, as of a second ago at most; `at` in ms. */
  compose (at: number): readonly RouteMessage[] {
    if (at - this.#composedAt < cacheMs) return this.#messages
    this.#composedAt = at
    this.#messages = listBatches(this.#listPrompts()).map(prompts => ({ type: 'prompts', prompts }))
    return this.#messages
  }
}
