/** The part of the public chat-completions protocol that a router reads. */
import { createHash } from 'node:crypto'

export interface ChatMessage {
  readonly role: string
  readonly content?: unknown
}

/** A chat request. Other keys are passed through unchanged. */
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
const prefixChars = 1024
const [openBracket, openBrace, comma] = Buffer.from('[{,')
/** Memory of a parsed list or object, and of its slot for a value, bytes. */
const listBytes = 40
const slotBytes = 8

/** Parses and validates a request body. Returns a `BadChat` on the first mistake. */
export function parseChat (body: Buffer): ChatRequest | BadChat {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch {
    return { param: null, text: 'the body is not valid JSON' }
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return { param: null, text: 'the body is not a JSON object' }
  const chat = value as Record<string, unknown>
  if (typeof chat.model !== 'string' || chat.model === '') return { param: 'model', text: '"model" must be a string' }
  if (!Array.isArray(chat.messages) || chat.messages.length === 0) return { param: 'messages', text: '"messages" must be a non-empty array' }
  for (const message of chat.messages as unknown[]) {
    if (typeof message !== 'object' || message === null || typeof (message as ChatMessage).role !== 'string') {
      return { param: 'messages', text: 'each message must have a "role"' }
    }
  }
  if (chat.stream !== undefined && typeof chat.stream !== 'boolean') return { param: 'stream', text: '"stream" must be true or false' }
  for (const key of ['max_tokens', 'max_completion_tokens']) {
    const found = chat[key]
    if (found !== undefined && found !== null && !(Number.isInteger(found) && (found as number) > 0)) {
      return { param: key, text: `"${key}" must be a positive integer` }
    }
  }
  return chat as unknown as ChatRequest
}

/** True where `parseChat` rejected the body. */
export function isBadChat (parsed: ChatRequest | BadChat): parsed is BadChat {
  return 'text' in parsed && 'param' in parsed && !('messages' in parsed)
}

/** Estimates the memory of a body once it is parsed, bytes: lists and objects take far more than their text. */
export function estimateParsed (body: Buffer): number {
  let bytes = body.length
  for (const char of body) {
    if (char === openBracket || char === openBrace) bytes += listBytes
    else if (char === comma) bytes += slotBytes
  }
  return bytes
}

/** Estimates the prompt's tokens from the size of the body. */
export function estimatePrompt (body: Buffer): number {
  return Math.ceil(body.length / bytesPerToken)
}

/** A digest of the prompt's first 1,024 characters, separate for each workspace; null for shorter prompts. */
export function digestPrefix (workspace: string, chat: ChatRequest): string | null {
  const text = JSON.stringify([chat.model, chat.messages])
  if (text.length < prefixChars) return null
  return createHash('sha256').update(workspace).update(text.slice(0, prefixChars)).digest('base64url').slice(0, 16)
}

/** The text that a streamed event adds to the answer; null where it has none or can't be parsed. */
export function readDelta (data: string): string | null {
  try {
    const chunk = JSON.parse(data) as { choices?: { delta?: { content?: string | null } }[] }
    return chunk.choices?.[0]?.delta?.content ?? null
  } catch {
    return null
  }
}
