import type { EndpointId, ReadPrompt } from '../core/index.js'

/** Prompts in one message at most, but for what one engine holds: others may pass between two messages. */
const mostInBatch = 400

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
    if (last === undefined || last.length + held.length > mostInBatch) batches.push([...held])
    else last.push(...held)
  }
  return batches
}
