/** The published chat protocol, as far as a router reads it. */
import { createHash } from 'node:crypto'

/** A message of a chat. */
export interface ChatMessage {
  readonly role: string
  readonly content?: unknown
}

/** A chat request; further keys are passed on as they came. */
export interface ChatRequest {
  readonly model: string
  readonly messages: readonly ChatMessage[]
  readonly stream?: boolean
  readonly max_tokens?: number
  readonly max_completion_tokens?: number
  readonly stream_options?: { readonly include_usage?: boolean }
  readonly [key: string]: unknown
}

/** Why a body is not a chat request. */
export interface BadChat {
  readonly param: string | null
  readonly text: string
}

const bytesPerToken = 4
const prefixBytes = 1024

/** Reads a body; a `BadChat` says what is wrong with it. */
export function parseChat (body: Buffer): ChatRequest | BadChat {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch {
    return { param: null, text: 'the body is not JSON' }
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return { param: null, text: 'the body is not an object' }
  const chat = value as Record<string, unknown>
  if (typeof chat.model !== 'string' || chat.model === '') return { param: 'model', text: '"model" must be a text' }
  if (!Array.isArray(chat.messages) || chat.messages.length === 0) return { param: 'messages', text: '"messages" must be a list with at least one message' }
  for (const message of chat.messages as unknown[]) {
    if (typeof message !== 'object' || message === null || typeof (message as ChatMessage).role !== 'string') {
      return { param: 'messages', text: 'each message must have a "role"' }
    }
  }
  if (chat.stream !== undefined && typeof chat.stream !== 'boolean') return { param: 'stream', text: '"stream" must be true or false' }
  for (const key of ['max_tokens', 'max_completion_tokens']) {
    const found = chat[key]
    if (found !== undefined && found !== null && !(Number.isInteger(found) && (found as number) > 0)) {
      return { param: key, text: `"${key}" must be a whole number over 0` }
    }
  }
  return chat as unknown as ChatRequest
}

/** True where `parseChat` found a mistake. */
export function isBadChat (parsed: ChatRequest | BadChat): parsed is BadChat {
  return 'text' in parsed && 'param' in parsed && !('messages' in parsed)
}

/** About how many tokens the prompt has. */
export function estimatePrompt (body: Buffer): number {
  return Math.ceil(body.length / bytesPerToken)
}

/** A digest of the prompt's beginning within its workspace, or null where it's short. */
export function digestPrefix (workspace: string, chat: ChatRequest): string | null {
  const text = JSON.stringify([chat.model, chat.messages])
  if (text.length < prefixBytes) return null
  return createHash('sha256').update(workspace).update(text.slice(0, prefixBytes)).digest('base64url').slice(0, 16)
}

/** The text that a streamed event adds to the answer; null where it adds none. */
export function readDelta (data: string): string | null {
  try {
    const chunk = JSON.parse(data) as { choices?: { delta?: { content?: string | null } }[] }
    return chunk.choices?.[0]?.delta?.content ?? null
  } catch {
    return null
  }
}
