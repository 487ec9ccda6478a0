/**
 * What registries told, at the start of this box, that engines hold: kept by
 * engine, as the engine's record or its service may come later.
 */
import type { EndpointId } from '../ids.js'
import type { EndpointView } from './endpoint-view.js'
import type { ReadPrompt } from './load-word.js'

export class ReportedPrompts {
  #prompts = new Map<EndpointId, ReadPrompt[]>()

  /** Takes what one registry tells; returns the engines that it tells of. */
  take (prompts: readonly ReadPrompt[]): EndpointId[] {
    const byEndpoint = new Map<EndpointId, ReadPrompt[]>()
    for (const prompt of prompts) {
      const [endpoint] = prompt
      const ofEndpoint = byEndpoint.get(endpoint) ?? []
      ofEndpoint.push(prompt)
      byEndpoint.set(endpoint, ofEndpoint)
    }
    for (const [endpoint, ofEndpoint] of byEndpoint) this.#prompts.set(endpoint, ofEndpoint)
    return [...byEndpoint.keys()]
  }

  /** Notes at an engine's view what it holds. */
  note (view: EndpointView): void {
    for (const prompt of this.#prompts.get(view.id) ?? []) notePrompt(view, prompt)
  }

  /** Forgets an engine that is gone. */
  forget (endpoint: EndpointId): void { this.#prompts.delete(endpoint) }
}

/** Notes at an engine's view what a box told of a prompt there. */
export function notePrompt (view: EndpointView, [, parts, isKept]: ReadPrompt): void {
  view.notePrompt(parts.map(([id, tokens]) => ({ id, tokens })), isKept)
}
