/** All answers of which a box holds bytes, on its account of memory for clients. `core/answers` decides; this carries it out. */
import type { ServerResponse } from 'node:http'
import { alwaysReadBytes, chooseDropped, mayReceive } from '../core/index.js'
import type { ClientIntake, ClientMemory, EventLog, Metrics } from '../runtime/index.js'
import { AnswerBuffer } from './answer-buffer.js'
import type { AnswerBufferHost, BufferAccount } from './answer-buffer.js'
import { UnfinishedEvents } from './unfinished-events.js'
import { readSendQueues } from './send-queues.js'

/** Reads of callers are looked for while more than this share of the budget is held, at this interval, ms. */
const watchedShare = 1 / 8
const watchIntervalMs = 200

export interface AnswerStoreTools {
  readonly intake: Pick<ClientIntake, 'memory'>
  readonly log: EventLog
  readonly metrics: Metrics
}

export class AnswerStore implements BufferAccount {
  /** Monotonic time of the box, ms. */
  readonly now: () => number
  readonly unfinished: UnfinishedEvents
  #log: EventLog
  #metrics: Metrics
  #memory: ClientMemory
  #answerBytes = 0
  #holding = new Set<AnswerBuffer>()
  /** Buffers whose endpoints are not read for lack of room; those that wait longest come first. */
  #paused = new Set<AnswerBuffer>()
  /** Since when endpoints have waited to be read, but for interruptions shorter than a check; null if none has. */
  #pressedAt: number | null = null
  #watchedAt = -Infinity
  /** Responses that Node has not yet passed to the system in whole. */
  #unsent = new Set<ServerResponse>()

  constructor ({ intake, log, metrics }: AnswerStoreTools, now: () => number) {
    this.#memory = intake.memory
    this.unfinished = new UnfinishedEvents(intake.memory)
    this.now = now
    this.#log = log
    this.#metrics = metrics
  }

  /** Memory used by all answers, bytes. */
  get answerBytes (): number { return this.#answerBytes }
  /** Memory used by answers and the bodies of accepted requests, bytes. */
  get totalBytes (): number { return this.#memory.acceptedBytes }
  get budgetBytes (): number { return this.#memory.budgetBytes }

  /** True if all answers of exchanges that have ended were passed to the system. */
  get isIdle (): boolean { return this.#unsent.size === 0 }

  open (host: AnswerBufferHost, response: ServerResponse): AnswerBuffer {
    return new AnswerBuffer(this, host, response)
  }

  noteChange (buffer: AnswerBuffer, delta: number): void {
    this.#answerBytes += delta
    this.#memory.noteAnswers(delta)
    if (buffer.heldBytes > 0) this.#holding.add(buffer)
    else this.#holding.delete(buffer)
    if (delta < 0 && this.#paused.size > 0) this.#resume(buffer)
  }

  /** Notes that `bytes` of an answer were read, also of one that is discarded. */
  noteRead (bytes: number): void { this.#memory.noteRead(bytes) }

  mayReceive (buffer: AnswerBuffer): boolean {
    if (mayReceive(buffer, this)) return true
    this.#paused.add(buffer)
    this.#pressedAt ??= this.now()
    return false
  }

  forgetPause (buffer: AnswerBuffer): void { this.#paused.delete(buffer) }

  noteEnded (response: ServerResponse): void {
    if (response.writableLength === 0) return
    this.#unsent.add(response)
    response.on('close', () => this.#unsent.delete(response))
  }

  /** Waits until all answers were passed to the system and `isDone` holds, for `maxMs` at most and one turn of the event loop at least. */
  async flush (maxMs: number, isDone: () => boolean): Promise<void> {
    const until = this.now() + maxMs
    do await new Promise(resolve => setImmediate(resolve))
    while (!(this.isIdle && isDone()) && this.now() < until)
  }

  /** Ends exchanges while the budget is exceeded and callers have stalled. */
  check (): void {
    this.#memory.check()
    if (this.#paused.size === 0 && this.totalBytes <= this.budgetBytes) this.#pressedAt = null
    if (this.totalBytes > this.budgetBytes * watchedShare && this.now() - this.#watchedAt >= watchIntervalMs) void this.#watchReads()
    for (let dropped = this.#chooseDropped(); dropped !== null; dropped = this.#chooseDropped()) this.#drop(dropped)
    this.#resumeLongest()
  }

  async #watchReads (): Promise<void> {
    this.#watchedAt = this.now()
    const queues = await readSendQueues()
    for (const buffer of this.#holding) buffer.noteSendQueues(queues)
  }

  #chooseDropped (): AnswerBuffer | null {
    return chooseDropped(this.#holding, { totalBytes: this.totalBytes, budgetBytes: this.budgetBytes, unreadMs: this.#pressedAt === null ? 0 : this.now() - this.#pressedAt })
  }

  #drop (buffer: AnswerBuffer): void {
    const { headers, workspace } = buffer.host.request
    this.#log.warn('answer-dropped', { request: headers.requestId, workspace: workspace?.name, bytes: buffer.heldBytes, budget: this.budgetBytes, idleMs: buffer.idleMs === null ? undefined : Math.round(buffer.idleMs) })
    this.#metrics.count('answers-dropped')
    buffer.drop()
  }

  #resume (buffer: AnswerBuffer): void {
    if (this.#paused.has(buffer) && mayReceive(buffer, this)) this.#resumeOne(buffer)
    this.#resumeLongest()
  }

  // Resumes as many as there is room for, if each receives one more chunk.
  #resumeLongest (): void {
    let room = this.budgetBytes - this.totalBytes
    for (const buffer of this.#paused) {
      if (room < 0) return
      room -= alwaysReadBytes
      this.#resumeOne(buffer)
    }
  }

  #resumeOne (buffer: AnswerBuffer): void {
    this.#paused.delete(buffer)
    buffer.host.resumeReceiving()
  }
}
