/** Request bodies for engines. */
import type { ChatRequest } from '../protocol/index.js'

/** The part of a response that has been received, for an attempt that resumes it. */
export interface ChatProgress {
  readonly text: string
  readonly tokens: number
}

/**
 * True if the response consists of a single streamed text, so that it can be
 * resumed: no tools, no audio, no log probabilities, and only one choice.
 */
export function isTextOnly (chat: ChatRequest): boolean {
  if (chat.tools !== undefined || chat.functions !== undefined || chat.logprobs === true || chat.audio !== undefined) return false
  return chat.n === undefined || chat.n === 1
}

/**
 * Composes the body for one attempt. Engines always stream, so that a response can
 * be cancelled, timed and resumed. To resume a response, its received text is sent
 * as the last message and the engine is asked to continue that message.
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
