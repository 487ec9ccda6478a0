/**
 * Puts and reads the document through the leader: locally where this registry
 * leads, otherwise forwarded over a link. While no leader is known, or one stops
 * leading before it has answered, a call retries until its deadline: a document
 * that is put again is taken once, as its version is the same.
 */
import { performance } from 'node:perf_hooks'
import type { KeeperLog, ReplicaId, VersionedText } from '../coordination/index.js'
import type { Link, PutOutcome, RouteMessage } from '../protocol/index.js'
import { BoundedWaits } from '../runtime/index.js'

/** What the client needs of its box. */
export interface LeaderClientHost {
  readonly log: KeeperLog
  findLink (replica: ReplicaId): Link<RouteMessage> | undefined
}

/** The result of a read; `isConfirmed`: a quorum confirmed that it is the newest document. */
export interface ReadResult {
  readonly isConfirmed: boolean
  readonly document: VersionedText | null
}

/** `not-sent`: no leader has seen the document. */
export type PutResult = PutOutcome | 'not-sent'

type AnswerMessage = Extract<RouteMessage, { type: 'put-end' | 'read-end' }>

/** What became of a forwarded call: `lost` if it may have been executed without an answer, `not-sent` if no leader is connected. */
type CallOutcome = { readonly type: 'answered', readonly answer: AnswerMessage } | { readonly type: 'lost' } | { readonly type: 'not-sent' }

interface ForwardedCall {
  readonly link: Link<RouteMessage>
  end (outcome: CallOutcome): void
}

/** Deadline of a call, ms: operators try another registry after a second, so the answer must arrive before. */
const callTimeoutMs = 850
/** Pause before the leader is looked up again, ms. */
const retryPauseMs = 40

const unconfirmed: ReadResult = { isConfirmed: false, document: null }
const lost: CallOutcome = { type: 'lost' }

export class LeaderClient {
  #host: LeaderClientHost
  #lastCall = 0
  #forwarded = new Map<number, ForwardedCall>()
  #waits = new BoundedWaits()
  /** Calls of other registries that have no answer yet. */
  #servedCount = 0

  constructor (host: LeaderClientHost) {
    this.#host = host
  }

  /** True while calls of other registries have no answer. */
  get isServing (): boolean { return this.#servedCount > 0 }

  /** Activates a document; 'held' where the active version is the same or newer. */
  async put (document: VersionedText): Promise<PutResult> {
    const deadline = performance.now() + callTimeoutMs
    let wasSent = false
    while (!this.#waits.areEnded && performance.now() < deadline) {
      const newest = this.#host.log.state.routing.newest
      if (newest !== null && newest.version >= document.version) return 'held'
      const outcome = await this.#tryPut(document, deadline)
      if (outcome === 'taken' || outcome === 'held') return outcome
      wasSent ||= outcome === 'unknown'
      await this.#waits.pause(retryPauseMs)
    }
    return wasSent ? 'unknown' : 'not-sent'
  }

  /** Reads the newest document; unconfirmed where no quorum confirms it in time. */
  async read (): Promise<ReadResult> {
    const deadline = performance.now() + callTimeoutMs
    while (!this.#waits.areEnded && performance.now() < deadline) {
      const result = await this.#tryRead(deadline)
      if (result.isConfirmed) return result
      await this.#waits.pause(retryPauseMs)
    }
    return unconfirmed
  }

  /** Ends all calls now: what has no answer is unconfirmed, or of unknown outcome if it was sent. */
  halt (): void { this.#waits.end() }

  /** Proposes a document to the local log; null where this registry is not the leader or the proposal is rejected. */
  async putLocally (document: VersionedText): Promise<PutOutcome | null> {
    const { log } = this.#host
    if (!log.isLeader) return null
    const outcome = await log.propose({ part: 'routing', command: { type: 'put', document } })
    switch (outcome.type) {
      case 'applied': return (outcome.result as { type: 'taken' | 'held' }).type
      case 'lost': return 'unknown'
      case 'rejected': return null
    }
  }

  async readLocally (): Promise<ReadResult> {
    const { log } = this.#host
    if (!log.isLeader || !await log.read()) return unconfirmed
    return { isConfirmed: true, document: log.state.routing.newest }
  }

  /** Serves a call that another registry forwarded. */
  async serve (link: Link<RouteMessage>, message: Extract<RouteMessage, { type: 'put' | 'read' }>): Promise<void> {
    this.#servedCount += 1
    try {
      link.send(await this.#execute(message))
    } finally {
      this.#servedCount -= 1
    }
  }

  /** Completes a forwarded call with the leader's answer. */
  handleAnswer (answer: AnswerMessage): void {
    this.#forwarded.get(answer.call)?.end({ type: 'answered', answer })
  }

  /** Ends the calls that were forwarded over a link which has closed. */
  noteClosed (closed: Link<RouteMessage>): void {
    for (const { link, end } of [...this.#forwarded.values()]) if (link === closed) end(lost)
  }

  async #execute (message: Extract<RouteMessage, { type: 'put' | 'read' }>): Promise<AnswerMessage> {
    const { call } = message
    if (message.type === 'put') return { type: 'put-end', call, end: await this.putLocally(message.document) ?? 'not-leader' }
    const { isConfirmed, document } = await this.readLocally()
    const isNewer = document !== null && document.version > message.version
    return { type: 'read-end', call, sure: isConfirmed, document: isNewer ? document : null }
  }

  async #tryPut (document: VersionedText, deadline: number): Promise<PutOutcome | 'not-leader'> {
    if (this.#host.log.isLeader) return await this.#waits.limit(this.putLocally(document), deadline, 'unknown') ?? 'not-leader'
    const outcome = await this.#callLeader(call => ({ type: 'put', call, document }), deadline)
    switch (outcome.type) {
      case 'answered': return outcome.answer.type === 'put-end' ? outcome.answer.end : 'unknown'
      case 'lost': return 'unknown'
      case 'not-sent': return 'not-leader'
    }
  }

  async #tryRead (deadline: number): Promise<ReadResult> {
    const { log } = this.#host
    if (log.isLeader) return await this.#waits.limit(this.readLocally(), deadline, unconfirmed)
    const local = log.state.routing.newest
    const outcome = await this.#callLeader(call => ({ type: 'read', call, version: local?.version ?? 0 }), deadline)
    if (outcome.type !== 'answered' || outcome.answer.type !== 'read-end' || !outcome.answer.sure) return unconfirmed
    return { isConfirmed: true, document: outcome.answer.document ?? local }
  }

  async #callLeader (compose: (call: number) => RouteMessage, deadline: number): Promise<CallOutcome> {
    const { leader } = this.#host.log
    const link = leader === null ? undefined : this.#host.findLink(leader)
    this.#lastCall += 1
    const call = this.#lastCall
    if (link === undefined || !link.send(compose(call))) return { type: 'not-sent' }
    const outcome = new Promise<CallOutcome>(resolve => this.#forwarded.set(call, { link, end: resolve }))
    try {
      return await this.#waits.limit(outcome, deadline, lost)
    } finally {
      this.#forwarded.delete(call)
    }
  }
}
