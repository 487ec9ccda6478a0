/** Parses the server-sent events of a chat completion and assembles the complete response from them. */
import { isDoneEvent, readEventData } from '../protocol/index.js'

/** Token counts as reported by engines. */
export interface Usage {
  readonly prompt_tokens: number
  readonly completion_tokens: number
  readonly total_tokens: number
}

interface ResponseChunk {
  readonly id?: string
  readonly created?: number
  readonly model?: string
  readonly system_fingerprint?: string | null
  readonly usage?: Usage | null
  readonly choices?: readonly { readonly delta?: { readonly content?: string | null, readonly role?: string }, readonly finish_reason?: string | null }[]
}

/** Classification of one event. `broken`: its data is not valid JSON, or not a chunk of a chat completion. */
export type EventKind = 'text' | 'usage' | 'done' | 'broken'

/** Accumulates the events of one response, which may come from several engines in turn. */
export class ResponseAssembler {
  #text: string[] = []
  #tokens = 0
  #firstChunk: ResponseChunk | null = null
  #finishReason: string | null = null
  #usage: Usage | null = null
  #isDone = false
  /** What the engines say of their software; null before one has. */
  #fingerprint: string | null = null

  get text (): string { return this.#text.join('') }
  /** Number of events with text so far; equals the number of tokens, as engines send one token per event. */
  get tokens (): number { return this.#tokens }
  /** True once the final `[DONE]` event has been received. */
  get isDone (): boolean { return this.#isDone }

  /**
   * True if an event may follow those so far: once there is text, only events of the software that wrote it, by the
   * `system_fingerprint` of their chunks. One without a fingerprint follows only others without.
   */
  mayFollow (event: Buffer): boolean {
    const chunk = isDoneEvent(event) ? null : readChunk(event)
    if (this.#tokens === 0 || chunk === null || chunk === 'broken') return true
    return (chunk.system_fingerprint ?? null) === this.#fingerprint
  }

  /** Adds one event and returns its kind. */
  add (event: Buffer): EventKind {
    if (isDoneEvent(event)) {
      this.#isDone = true
      return 'done'
    }
    const chunk = readChunk(event)
    if (chunk === null) return 'text'
    return chunk === 'broken' ? chunk : this.#addChunk(chunk)
  }

  /** The complete response as an OpenAI-compatible JSON body. `model` is used if the engine did not name one. */
  compose (model: string): string {
    const message = { role: 'assistant', content: this.text }
    const usage = this.#usage ?? { prompt_tokens: 0, completion_tokens: this.#tokens, total_tokens: this.#tokens }
    return JSON.stringify({
      id: this.#firstChunk?.id ?? '',
      object: 'chat.completion',
      created: this.#firstChunk?.created ?? 0,
      model: this.#firstChunk?.model ?? model,
      choices: [{ index: 0, message, logprobs: null, finish_reason: this.#finishReason ?? 'stop' }],
      usage
    })
  }

  #addChunk (chunk: ResponseChunk): EventKind {
    this.#firstChunk ??= chunk
    if (this.#tokens === 0) this.#fingerprint = chunk.system_fingerprint ?? null
    if (chunk.usage != null) this.#usage = chunk.usage
    const [choice] = chunk.choices ?? []
    if (choice === undefined) return chunk.usage != null ? 'usage' : 'text'
    if (typeof choice.finish_reason === 'string') this.#finishReason = choice.finish_reason
    const content = choice.delta?.content
    if (typeof content === 'string' && content !== '') {
      this.#text.push(content)
      this.#tokens += 1
    }
    return 'text'
  }
}

// Null for an event without data.
function readChunk (event: Buffer): ResponseChunk | 'broken' | null {
  const data = readEventData(event)
  if (data === null) return null
  try {
    const chunk: unknown = JSON.parse(data)
    return isChunk(chunk) ? chunk : 'broken'
  } catch {
    return 'broken'
  }
}

// Checks only what `#addChunk` relies on: an exception there would be thrown in a listener of the engine's stream.
function isChunk (value: unknown): value is ResponseChunk {
  if (!isRecord(value)) return false
  const { choices } = value as { choices?: unknown }
  return choices == null || (Array.isArray(choices) && choices.every(isRecord))
}

function isRecord (value: unknown): boolean { return typeof value === 'object' && value !== null && !Array.isArray(value) }
