/**
 * Puts and reads the document through the leader: locally where this registry
 * leads, otherwise forwarded over a link. While no leader is known, a call retries
 * until its deadline.
 */
import type { KeeperLog, ReplicaId, VersionedText } from '../coordination/index.js'
import type { Link, PutOutcome, RouteMessage } from '../protocol/index.js'

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

type AnswerMessage = Extract<RouteMessage, { type: 'put-end' | 'read-end' }>

/** Deadline of a call, ms: operators try another registry after a second, so the answer must arrive before. */
const callTimeoutMs = 850
/** Pause before the leader is looked up again, ms. */
const retryPauseMs = 40

const unconfirmed: ReadResult = { isConfirmed: false, document: null }

export class LeaderClient {
  #host: LeaderClientHost
  #lastCall = 0
  #pendingCalls = new Map<number, (answer: AnswerMessage | null) => void>()

  constructor (host: LeaderClientHost) {
    this.#host = host
  }

  /** Activates a document; 'held' where the active version is the same or newer. */
  async put (document: VersionedText): Promise<PutOutcome> {
    const deadline = performance.now() + callTimeoutMs
    while (performance.now() < deadline) {
      const newest = this.#host.log.state.routing.newest
      if (newest !== null && newest.version >= document.version) return 'held'
      const outcome = await this.#tryPut(document, deadline)
      if (outcome !== null) return outcome
      await pause(retryPauseMs)
    }
    return 'unknown'
  }

  /** Reads the newest document; unconfirmed where no quorum confirms it in time. */
  async read (): Promise<ReadResult> {
    const deadline = performance.now() + callTimeoutMs
    while (performance.now() < deadline) {
      const result = await this.#tryRead(deadline)
      if (result.isConfirmed) return result
      await pause(retryPauseMs)
    }
    return unconfirmed
  }

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
    const { call } = message
    if (message.type === 'put') return void link.send({ type: 'put-end', call, end: await this.putLocally(message.document) ?? 'not-leader' })
    const { isConfirmed, document } = await this.readLocally()
    const isNewer = document !== null && document.version > message.version
    link.send({ type: 'read-end', call, sure: isConfirmed, document: isNewer ? document : null })
  }

  /** Completes a forwarded call with the leader's answer. */
  handleAnswer (answer: AnswerMessage): void {
    this.#pendingCalls.get(answer.call)?.(answer)
  }

  // Null where the leader is unknown or no longer leads; the caller retries.
  async #tryPut (document: VersionedText, deadline: number): Promise<PutOutcome | null> {
    if (this.#host.log.isLeader) return await withDeadline(this.putLocally(document), deadline, 'unknown')
    const answer = await this.#callLeader(call => ({ type: 'put', call, document }), deadline)
    if (answer === null) return null
    if (answer.type !== 'put-end') return 'unknown'
    return answer.end === 'not-leader' ? null : answer.end
  }

  async #tryRead (deadline: number): Promise<ReadResult> {
    const { log } = this.#host
    if (log.isLeader) return await withDeadline(this.readLocally(), deadline, unconfirmed)
    const local = log.state.routing.newest
    const answer = await this.#callLeader(call => ({ type: 'read', call, version: local?.version ?? 0 }), deadline)
    if (answer === null || answer.type !== 'read-end' || !answer.sure) return unconfirmed
    return { isConfirmed: true, document: answer.document ?? local }
  }

  #callLeader (compose: (call: number) => RouteMessage, deadline: number): Promise<AnswerMessage | null> {
    const { leader } = this.#host.log
    const link = leader === null ? undefined : this.#host.findLink(leader)
    if (link === undefined) return Promise.resolve(null)
    this.#lastCall += 1
    const call = this.#lastCall
    return new Promise(resolve => {
      const timer = setTimeout(() => finish(null), Math.max(0, deadline - performance.now()))
      const finish = (answer: AnswerMessage | null): void => {
        clearTimeout(timer)
        this.#pendingCalls.delete(call)
        resolve(answer)
      }
      this.#pendingCalls.set(call, finish)
      link.send(compose(call))
    })
  }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

function withDeadline<T> (result: Promise<T>, deadline: number, fallback: T): Promise<T> {
  let timer: NodeJS.Timeout
  const timeout = new Promise<T>(resolve => { timer = setTimeout(() => resolve(fallback), Math.max(0, deadline - performance.now())) })
  return Promise.race([result, timeout]).finally(() => clearTimeout(timer))
}
