/** Reads an answer's events as they pass, and puts a whole answer together. */
import { isDoneEvent, readEventData } from '../protocol/index.js'

/** Token counts as engines give them. */
export interface Usage {
  readonly prompt_tokens: number
  readonly completion_tokens: number
  readonly total_tokens: number
}

interface Chunk {
  readonly id?: string
  readonly created?: number
  readonly model?: string
  readonly system_fingerprint?: string
  readonly usage?: Usage | null
  readonly choices?: readonly { readonly delta?: { readonly content?: string | null, readonly role?: string }, readonly finish_reason?: string | null }[]
}

/** What one event is. */
export type EventKind = 'text' | 'usage' | 'done' | 'broken'

/** Gathers what an answer's events say. */
export class AnswerParts {
  #text: string[] = []
  #tokens = 0
  #first: Chunk | null = null
  #finish: string | null = null
  #usage: Usage | null = null
  #done = false

  get text (): string { return this.#text.join('') }
  /** Events with text so far: tokens, as engines send one each. */
  get tokens (): number { return this.#tokens }
  get isDone (): boolean { return this.#done }

  /** Takes one event, and says what it is. */
  take (event: Buffer): EventKind {
    if (isDoneEvent(event)) {
      this.#done = true
      return 'done'
    }
    const data = readEventData(event)
    if (data === null) return 'text'
    let chunk: Chunk
    try {
      chunk = JSON.parse(data) as Chunk
    } catch {
      return 'broken'
    }
    return this.#note(chunk)
  }

  /** The whole answer in the published shape. */
  compose (model: string): string {
    const message = { role: 'assistant', content: this.text }
    const usage = this.#usage ?? { prompt_tokens: 0, completion_tokens: this.#tokens, total_tokens: this.#tokens }
    return JSON.stringify({
      id: this.#first?.id ?? '',
      object: 'chat.completion',
      created: this.#first?.created ?? 0,
      model: this.#first?.model ?? model,
      choices: [{ index: 0, message, logprobs: null, finish_reason: this.#finish ?? 'stop' }],
      usage
    })
  }

  #note (chunk: Chunk): EventKind {
    this.#first ??= chunk
    if (chunk.usage != null) this.#usage = chunk.usage
    const [choice] = chunk.choices ?? []
    if (choice === undefined) return chunk.usage != null ? 'usage' : 'text'
    if (typeof choice.finish_reason === 'string') this.#finish = choice.finish_reason
    const content = choice.delta?.content
    if (typeof content === 'string' && content !== '') {
      this.#text.push(content)
      this.#tokens += 1
    }
    return 'text'
  }
}
