/**
 * Asks for permits to send to endpoints that name a rate limit. One registry
 * gives them out for all boxes. A box that reaches none keeps to its own part of
 * the limit, which the registry leaves to it.
 */
import { TokenBucket } from '../core/index.js'
import type { ClosedEndpoint, EndpointId, EndpointNotice, EndpointView, PermitGrant, PermitWants } from '../core/index.js'
import type { RouteMessage } from '../protocol/index.js'
import type { EventLog } from '../runtime/index.js'
import type { PermitAnswer } from './registry-follower.js'

/** What the desk needs of its box. */
export interface PermitDeskHost {
  readonly log: EventLog
  now (): number
  /** Boxes that share a limit, this one included; 0 where that isn't known. */
  countBoxes (): number
  findView (endpoint: EndpointId): EndpointView | undefined
  findNotice (endpoint: EndpointId): EndpointNotice | undefined
  /** Sends to the registry that gives permits, as far as it is known; false where none can be reached. */
  send (message: RouteMessage): boolean
  /** Takes which registry gives permits; null where the one asked doesn't know. */
  setIssuer (host: string | null): void
}

/** Who asked, and what hears whether there is a permit. */
interface Seeker {
  readonly priority: number
  readonly take: (isGiven: boolean) => void
}

/** The one call about an endpoint that is under way, and who waits for the next. */
interface Line {
  readonly view: EndpointView
  call: number | null
  sentAt: number
  redirects: number
  asking: Seeker[]
  waiting: Seeker[]
}

/** Time-out of a call, ms. */
const answerMs = 100
/** Without any answer for so long this box counts as cut off from the issuer, ms. */
const cutOffMs = 1000
/** How often a box that is cut off tries the registries, ms. */
const retryMs = 300
/** A failed call that was followed by no other for so long no longer counts, ms. */
const forgetMs = 2000
/** What got no permit may ask again after this where nobody says when, ms. */
const deniedMs = 50
/** Registries that are asked one after another for one permit. */
const mostRedirects = 2
/** Nobody is told to wait longer for this box's own part of a limit, ms. */
const longestWaitMs = 1000

export class PermitDesk {
  #host: PermitDeskHost
  #lines = new Map<EndpointId, Line>()
  #calls = new Map<number, Line>()
  #counter = 0
  /** When the first call of a row without answers was made; null while they come. */
  #silentSince: number | null = null
  #triedAt = -Infinity
  /** This box's own part of each limit, while it is cut off. */
  #parts = new Map<EndpointId, TokenBucket>()

  constructor (host: PermitDeskHost) {
    this.#host = host
  }

  /** Asks for a permit for one send; `take` hears once whether there is one. */
  ask (view: EndpointView, priority: number, take: (isGiven: boolean) => void): void {
    const now = this.#host.now()
    const seeker = { priority, take }
    if (this.#isCutOff(now) && now - this.#triedAt < retryMs) return this.#takeOwn(view, [seeker], now)
    const line = this.#lines.get(view.id) ?? { view, call: null, sentAt: 0, redirects: 0, asking: [], waiting: [] }
    this.#lines.set(view.id, line)
    line.waiting.push(seeker)
    if (line.call === null) this.#sendNext(line)
  }

  /** Takes a registry's answer. */
  receive (answer: PermitAnswer): void {
    const line = this.#calls.get(answer.call)
    if (line === undefined) return
    this.#calls.delete(answer.call)
    switch (answer.type) {
      case 'permits':
        this.#noteClosed(answer.closed)
        return this.#settle(line, answer.grants)
      case 'permits-elsewhere': return this.#follow(line, answer.leader)
    }
  }

  /** Gives up calls that were not answered in time. */
  check (now: number): void {
    for (const [call, line] of this.#calls) {
      if (now - line.sentAt < answerMs) continue
      this.#calls.delete(call)
      this.#host.setIssuer(null)
      this.#fail(line)
    }
  }

  #sendNext (line: Line): void {
    line.asking = line.waiting
    line.waiting = []
    line.redirects = 0
    if (line.asking.length > 0) this.#send(line)
    else this.#lines.delete(line.view.id)
  }

  #send (line: Line): void {
    const now = this.#host.now()
    const notice = this.#host.findNotice(line.view.id)
    // The limit has ended meanwhile.
    if (notice === undefined || notice.perSecond === null) return this.#settle(line, countWants(line.asking).map(([priority, count]) => [priority, count, 0]))
    this.#counter += 1
    line.call = this.#counter
    line.sentAt = now
    // What failed long ago says nothing of now.
    if (now - this.#triedAt > forgetMs) this.#silentSince = null
    this.#triedAt = now
    this.#calls.set(line.call, line)
    if (this.#host.send({ type: 'ask-permits', call: line.call, notice, wants: countWants(line.asking) })) return
    this.#calls.delete(line.call)
    this.#fail(line)
  }

  #noteClosed (closed: readonly ClosedEndpoint[]): void {
    const now = this.#host.now()
    for (const [endpoint, priority, waitMs] of closed) this.#host.findView(endpoint)?.gate.noteDenied(priority, now + waitMs)
  }

  #follow (line: Line, leader: string | null): void {
    this.#host.setIssuer(leader)
    line.redirects += 1
    if (leader === null || line.redirects > mostRedirects) return this.#fail(line)
    this.#send(line)
  }

  #settle (line: Line, grants: readonly PermitGrant[]): void {
    const now = this.#host.now()
    if (this.#silentSince !== null && this.#isCutOff(now)) this.#host.log.info('permits-back', { silentMs: Math.round(now - this.#silentSince) })
    this.#silentSince = null
    this.#parts.clear()
    const seekers = line.asking
    line.asking = []
    line.call = null
    const given = new Map(grants.map(([priority, count]) => [priority, count]))
    for (const [priority, , waitMs] of grants) if (waitMs > 0) line.view.gate.noteDenied(priority, now + waitMs)
    for (const { priority, take } of seekers) {
      const left = given.get(priority) ?? 0
      given.set(priority, left - 1)
      take(left > 0)
    }
    if (line.call === null) this.#sendNext(line)
  }

  #fail (line: Line): void {
    const now = this.#host.now()
    const wasCutOff = this.#isCutOff(now)
    this.#silentSince ??= line.sentAt === 0 ? now : line.sentAt
    if (this.#isCutOff(now) && !wasCutOff) this.#host.log.warn('permits-silent', { boxes: this.#host.countBoxes() })
    const seekers = [...line.asking, ...line.waiting]
    line.asking = []
    line.waiting = []
    line.call = null
    this.#lines.delete(line.view.id)
    if (this.#isCutOff(now)) return this.#takeOwn(line.view, seekers, now)
    for (const { priority, take } of seekers) {
      line.view.gate.noteDenied(priority, now + deniedMs)
      take(false)
    }
  }

  #isCutOff (now: number): boolean {
    return this.#silentSince !== null && now - this.#silentSince >= cutOffMs
  }

  // This box's own part of the limit, which nobody else spends.
  #takeOwn (view: EndpointView, seekers: readonly Seeker[], now: number): void {
    const boxes = this.#host.countBoxes()
    const perSecond = boxes === 0 ? 0 : (view.gate.limit ?? 0) / boxes
    const part = this.#parts.get(view.id) ?? new TokenBucket(perSecond, 1, now)
    this.#parts.set(view.id, part)
    part.setRate(perSecond, 1, now)
    for (const { priority, take } of [...seekers].sort((a, b) => a.priority - b.priority)) {
      const isGiven = part.take(now)
      if (!isGiven) view.gate.noteDenied(priority, now + Math.min(longestWaitMs, part.measureWait(now)))
      take(isGiven)
    }
  }
}

function countWants (seekers: readonly Seeker[]): PermitWants {
  const counts = new Map<number, number>()
  for (const { priority } of seekers) counts.set(priority, (counts.get(priority) ?? 0) + 1)
  return [...counts]
}
