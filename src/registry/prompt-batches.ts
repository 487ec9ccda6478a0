import type { EndpointId, PromptReport } from '../core/index.js'
import type { Link, RouteMessage } from '../protocol/index.js'

/** Maximum prompts per message, so that other messages can pass in between; the prompts of one engine may exceed it. */
const maxBatchSize = 400
/** Interval between batches, ms: the transfer time of one on a slow link, which also carries the box's first requests. */
const batchIntervalMs = 20
/** How long composed messages are reused, ms: composing them for each of hundreds of gateways that start together would occupy a registry for seconds. */
const cacheMs = 1000

/** Splits cached prompts into batches. The prompts of one engine stay in one batch, as a message replaces all that was known of the engine. */
export function splitIntoBatches (prompts: readonly PromptReport[]): PromptReport[][] {
  const byEngine = new Map<EndpointId, PromptReport[]>()
  for (const prompt of prompts) {
    const [endpoint] = prompt
    const held = byEngine.get(endpoint)
    if (held === undefined) byEngine.set(endpoint, [prompt])
    else held.push(prompt)
  }
  const batches: PromptReport[][] = []
  for (const held of byEngine.values()) {
    const last = batches.at(-1)
    if (last === undefined || last.length + held.length > maxBatchSize) batches.push([...held])
    else last.push(...held)
  }
  return batches
}

/** Sends a box the prompts that engines have cached, in batches. */
export class PromptBatchSender {
  #listPrompts: () => readonly PromptReport[]
  #messages: readonly RouteMessage[] = []
  #composedAt = -Infinity

  /** `listPrompts`: the prompts that engines have cached now. */
  constructor (listPrompts: () => readonly PromptReport[]) {
    this.#listPrompts = listPrompts
  }

  /** Sends all batches, spaced by an interval; `at`: now, ms. */
  sendAll (link: Link<RouteMessage>, at: number): void {
    for (const [i, message] of this.compose(at).entries()) setTimeout(() => link.send(message), i * batchIntervalMs)
  }

  /** The messages, at most one second old; `at`: now, ms. */
  compose (at: number): readonly RouteMessage[] {
    if (at - this.#composedAt < cacheMs) return this.#messages
    this.#composedAt = at
    this.#messages = splitIntoBatches(this.#listPrompts()).map(prompts => ({ type: 'prompts', prompts }))
    return this.#messages
  }
}
