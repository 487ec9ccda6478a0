/** Cached prompts that registries reported when this box started, by engine: an engine's record or service may arrive later. */
import type { EndpointId } from '../ids.js'
import type { EndpointView } from './endpoint-view.js'
import type { PromptReport } from './box-load.js'

export class ReportedPrompts {
  #prompts = new Map<EndpointId, PromptReport[]>()

  /** Stores the report of one registry; returns the engines that it covers. */
  take (prompts: readonly PromptReport[]): EndpointId[] {
    const byEndpoint = new Map<EndpointId, PromptReport[]>()
    for (const prompt of prompts) {
      const [endpoint] = prompt
      const ofEndpoint = byEndpoint.get(endpoint) ?? []
      ofEndpoint.push(prompt)
      byEndpoint.set(endpoint, ofEndpoint)
    }
    for (const [endpoint, ofEndpoint] of byEndpoint) this.#prompts.set(endpoint, ofEndpoint)
    return [...byEndpoint.keys()]
  }

  /** Records in an engine's view which prompts it has cached. */
  note (view: EndpointView): void {
    for (const prompt of this.#prompts.get(view.id) ?? []) notePrompt(view, prompt)
  }

  forget (endpoint: EndpointId): void { this.#prompts.delete(endpoint) }
}

/** Records in an engine's view the state of a prompt that a box reported. */
export function notePrompt (view: EndpointView, [, parts, isKept]: PromptReport): void {
  view.notePrompt(parts.map(([id, tokens]) => ({ id, tokens })), isKept)
}
