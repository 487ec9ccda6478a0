/**
 * Documents on their way to the leader: proposed here where this registry
 * leads, else passed on over a link. While no leader is known the call waits,
 * as long as its caller would.
 */
import type { KeeperLog, ReplicaId, VersionedText } from '../coordination/index.js'
import type { Link, PutEnd, RouteMessage } from '../protocol/index.js'

/** What the calls need of their box. */
export interface LeaderCallsHost {
  readonly log: KeeperLog
  findLink (replica: ReplicaId): Link<RouteMessage> | undefined
}

/** How a read ended. */
export interface ReadEnd {
  readonly sure: boolean
  readonly document: VersionedText | null
}

type AnswerMessage = Extract<RouteMessage, { type: 'put-end' | 'read-end' }>

/** Operators try elsewhere after a second without an answer; the answer must be there before, ms. */
const patienceMs = 850
/** Pause before the leader is looked for again, ms. */
const pauseMs = 40

const unsure: ReadEnd = { sure: false, document: null }

export class LeaderCalls {
  #host: LeaderCallsHost
  #counter = 0
  #open = new Map<number, (answer: AnswerMessage | null) => void>()

  constructor (host: LeaderCallsHost) {
    this.#host = host
  }

  /** Puts a document in force; an older or equal version is held without a change. */
  async put (document: VersionedText): Promise<PutEnd> {
    const until = performance.now() + patienceMs
    while (performance.now() < until) {
      const newest = this.#host.log.state.routing.newest
      if (newest !== null && newest.version >= document.version) return 'held'
      const end = await this.#tryPut(document, until)
      if (end !== null) return end
      await pause(pauseMs)
    }
    return 'unknown'
  }

  /** Reads the newest document; unsure where no quorum confirms it in time. */
  async read (): Promise<ReadEnd> {
    const until = performance.now() + patienceMs
    while (performance.now() < until) {
      const end = await this.#tryRead(until)
      if (end.sure) return end
      await pause(pauseMs)
    }
    return unsure
  }

  /** Puts a document that another registry passed on; only the leader may take it. */
  async putHere (document: VersionedText): Promise<PutEnd | null> {
    const { log } = this.#host
    if (!log.isLeader) return null
    const end = await log.propose({ part: 'routing', command: { type: 'put', document } })
    switch (end.type) {
      case 'applied': return (end.result as { type: 'taken' | 'held' }).type
      case 'lost': return 'unknown'
      case 'rejected': return null
    }
  }

  async readHere (): Promise<ReadEnd> {
    const { log } = this.#host
    if (!log.isLeader || !await log.read()) return unsure
    return { sure: true, document: log.state.routing.newest }
  }

  /** Answers a call that another registry passed on. */
  async answer (link: Link<RouteMessage>, message: Extract<RouteMessage, { type: 'put' | 'read' }>): Promise<void> {
    const { call } = message
    if (message.type === 'put') return void link.send({ type: 'put-end', call, end: await this.putHere(message.document) ?? 'not-leader' })
    const { sure, document } = await this.readHere()
    const isNews = document !== null && document.version > message.version
    link.send({ type: 'read-end', call, sure, document: isNews ? document : null })
  }

  /** Takes the leader's answer to a call that was passed on. */
  receive (answer: AnswerMessage): void {
    this.#open.get(answer.call)?.(answer)
  }

  // Null where the leader is not known, or said that it leads no more.
  async #tryPut (document: VersionedText, until: number): Promise<PutEnd | null> {
    if (this.#host.log.isLeader) return await limit(this.putHere(document), until, 'unknown')
    const answer = await this.#ask(call => ({ type: 'put', call, document }), until)
    if (answer === null) return null
    if (answer.type !== 'put-end') return 'unknown'
    return answer.end === 'not-leader' ? null : answer.end
  }

  async #tryRead (until: number): Promise<ReadEnd> {
    const { log } = this.#host
    if (log.isLeader) return await limit(this.readHere(), until, unsure)
    const mine = log.state.routing.newest
    const answer = await this.#ask(call => ({ type: 'read', call, version: mine?.version ?? 0 }), until)
    if (answer === null || answer.type !== 'read-end' || !answer.sure) return unsure
    return { sure: true, document: answer.document ?? mine }
  }

  #ask (compose: (call: number) => RouteMessage, until: number): Promise<AnswerMessage | null> {
    const { leader } = this.#host.log
    const link = leader === null ? undefined : this.#host.findLink(leader)
    if (link === undefined) return Promise.resolve(null)
    this.#counter += 1
    const call = this.#counter
    return new Promise(resolve => {
      const timer = setTimeout(() => end(null), Math.max(0, until - performance.now()))
      const end = (answer: AnswerMessage | null): void => {
        clearTimeout(timer)
        this.#open.delete(call)
        resolve(answer)
      }
      this.#open.set(call, end)
      link.send(compose(call))
    })
  }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

function limit<T> (work: Promise<T>, until: number, fallback: T): Promise<T> {
  let timer: NodeJS.Timeout
  const late = new Promise<T>(resolve => { timer = setTimeout(() => resolve(fallback), Math.max(0, until - performance.now())) })
  return Promise.race([work, late]).finally(() => clearTimeout(timer))
}
