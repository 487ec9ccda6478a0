/** Answers of stand-in engines. They are a pure function of the request, so that any engine can resume an answer and tests can predict it. */
import { createHash } from 'node:crypto'
import type { ChatRequest } from '../protocol/index.js'

const maxAnswerWords = 60

/** The answer to a request, word by word. */
export interface StandinAnswer {
  readonly words: readonly string[]
  /** Number of words that the caller already has, where the request resumes an answer; else 0. */
  readonly given: number
}

/** Computes the answer, and how much of it the partial answer of a resumed request already contains. */
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
