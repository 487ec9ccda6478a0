/** The bodies that engines are sent. */
import type { ChatRequest } from '../protocol/index.js'

/** How far the answer has come, for an attempt that goes on with it. */
export interface ChatProgress {
  readonly text: string
  readonly tokens: number
}

/**
 * True where an answer can be put together from its streamed text alone, and so
 * be resumed: no tools, no choices, nothing beside the text.
 */
export function isTextOnly (chat: ChatRequest): boolean {
  if (chat.tools !== undefined || chat.functions !== undefined || chat.logprobs === true || chat.audio !== undefined) return false
  return chat.n === undefined || chat.n === 1
}

/**
 * The body for one attempt. Engines always stream, so that an answer can be
 * cancelled, timed and resumed; a resumed one has its beginning as the last
 * message, which the engine is asked to continue.
 */
export function composeEngineBody (chat: ChatRequest, priority: number, progress: ChatProgress | null): string {
  const body: Record<string, unknown> = {
    ...chat,
    stream: true,
    stream_options: { ...chat.stream_options, include_usage: true },
    priority
  }
  if (progress !== null) {
    body.messages = [...chat.messages, { role: 'assistant', content: progress.text }]
    body.continue_final_message = true
    body.add_generation_prompt = false
  }
  return JSON.stringify(body)
}
