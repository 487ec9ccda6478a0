/** The answers of stand-in engines: a function of the request alone. */
import { createHash } from 'node:crypto'
import type { ChatRequest } from '../protocol/index.js'

const maxAnswerWords = 60

/** An answer that any stand-in would give to a request, word by word. */
export interface StandinAnswer {
  readonly words: readonly string[]
  /** Words that the caller has already, where the request resumes an answer. */
  readonly given: number
}

/** Works out the answer, and how much of it a resumed request has already. */
export function composeAnswer (chat: ChatRequest): StandinAnswer {
  const isResumed = chat.continue_final_message === true
  const messages = isResumed ? chat.messages.slice(0, -1) : chat.messages
  const digest = createHash('sha256').update(JSON.stringify([chat.model, messages])).digest()
  const limit = chat.max_completion_tokens ?? chat.max_tokens
  const count = limit ?? 1 + digest.readUInt16LE(0) % maxAnswerWords
  const wordPrefix = digest.subarray(2, 5).toString('hex')
  const words = Array.from({ length: count }, (_, i) => `${wordPrefix}-${i} `)
  const partial = isResumed ? String(chat.messages.at(-1)?.content ?? '') : ''
  return { words, given: partial.split(' ').length - 1 }
}
