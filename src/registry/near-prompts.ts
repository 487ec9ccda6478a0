import type { EndpointRecord, ReadPrompt } from '../core/index.js'

/** Those prompts that engines of one zone hold: the registries of the other zones tell of theirs. */
export function listNearPrompts (prompts: readonly ReadPrompt[], records: readonly EndpointRecord[], zone: string): ReadPrompt[] {
  const near = new Set(records.filter(record => record.zone === zone).map(({ id }) => id))
  return prompts.filter(([endpoint]) => near.has(endpoint))
}
