/**
 * Which software version began each resumable stream. A box notes it with the
 * first event that it relays, and reports it to two registries; a box to which
 * the caller of a broken stream returns asks all registries. A stream whose origin
 * is not known is not continued: what two versions write doesn't fit together.
 */
import { OriginTable, brandId, chooseByHash, originRetentionMs } from '../core/index.js'
import type { BoxId, KeyedWorkspace, Route, SeenVersions, StreamKey, StreamOrigin, ZoneName } from '../core/index.js'
import type { CallerHeaders, Link, RouteMessage, StreamOriginReport } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import type { ResumedStream } from './admitted-request.js'
import type { Refusal } from './answers.js'
import { identifyStream } from './fingerprint.js'
import type { LinkedRegistry } from './registry-follower.js'

/** What the origins need from their box. */
export interface StreamOriginsHost {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly id: BoxId
  readonly zone: ZoneName
  now (): number
  listRegistries (): readonly LinkedRegistry[]
  /** The software versions that endpoints have ever named, as far as this box knows. */
  readonly versions: SeenVersions
  /** True if this box knows all versions at which streams may have begun that can still be taken up. */
  knowsAllVersions (): boolean
}

/** What a request asks for: a new answer, or the rest of a stream; or why it can't be served. */
export type Resumption =
  | { readonly type: 'new' }
  | { readonly type: 'resumed', readonly stream: ResumedStream }
  | { readonly type: 'refused', readonly refusal: Refusal }

/** A stream that this box relays now. */
export interface LiveStream {
  readonly key: StreamKey
  readonly origin: StreamOrigin
  notedAt: number
}

/** What registries answered; `isComplete`: all that were asked did in time. */
interface LookupResult {
  readonly origin: StreamOrigin | null
  readonly isComplete: boolean
}

interface Lookup {
  /** Registries that have not answered yet. */
  pending: number
  finish (result: LookupResult): void
}

/** The key of no stream: the answers to its lookup show that all updates sent before them have been read. */
const noStream = brandId<StreamKey>('')
/** Number of registries that store an origin: one may be lost with the box. */
const storeCount = 2
/** Origins of streams that go on are reported again at this interval, ms. */
const renewIntervalMs = originRetentionMs / 4
/** Number of streams that a registry is told of when it is new to this box, or was lost and is back: the latest ones. */
const maxToldAnew = 10_000
/** Lookups under way at the same time; requests beyond them are refused as if nobody knew their streams. */
const maxLookups = 500
/** Time-out of a lookup, ms: registries answer within a few ms. */
const lookupMs = 250
/** A time-out that comes later than due by this much shows that this box was held up, ms: answers may wait unread. */
const heldUpMs = 50
/** `retry-after` of a stream whose origin is not known here, ms: another box may know it. */
const unknownRetryMs = 150

export class StreamOrigins {
  #host: StreamOriginsHost
  #own = new OriginTable()
  #live = new Set<LiveStream>()
  /** Links over which all streams of this box were reported. */
  #synced = new WeakSet<Link<RouteMessage>>()
  #lookups = new Map<number, Lookup>()
  #calls = 0

  constructor (host: StreamOriginsHost) {
    this.#host = host
  }

  /** Number of lookups that are under way. */
  get pending (): number { return this.#lookups.size }

  /** Notes and reports the first event of a stream, new or resumed. To be called before the event is relayed: a caller that has it can return elsewhere. */
  begin (key: StreamKey, origin: StreamOrigin): LiveStream {
    const stream: LiveStream = { key, origin, notedAt: this.#host.now() }
    this.#live.add(stream)
    this.#own.note(key, origin, stream.notedAt)
    this.#report([stream])
    return stream
  }

  /** Notes that a stream has ended here; its caller may still return. */
  end (stream: LiveStream): void { this.#live.delete(stream) }

  /** Notes that no endpoint was found for the rest of a stream; `why`: the outcome of the search. */
  noteNotMoved (requestId: string, { service, software }: StreamOrigin, why: string): void {
    this.#host.metrics.count('streams-not-moved', { service, why })
    this.#host.log.warn('stream-not-moved', { request: requestId, service, software, why })
  }

  /** Decides whether a request resumes a stream, and where that stream began. */
  async resolve ({ requestId, resumes, lastEvent }: CallerHeaders, route: Route, workspace: KeyedWorkspace | null): Promise<Resumption> {
    if (route.kind !== 'events' || (resumes === null && lastEvent === null)) return { type: 'new' }
    if (lastEvent === null) return refuse('bad-request', 'the request names a stream to resume, but not its last event')
    if (resumes === null) return await this.#resolveUnnamed(route)
    if (resumes === requestId) return refuse('bad-request', 'the request names itself as the one that began the stream to resume')
    const key = identifyStream(workspace, route, resumes)
    const own = this.#own.find(key, this.#host.now())
    const origin = own ?? (await this.#lookUp(key)).origin
    this.#host.metrics.count('stream-lookups', { from: own !== null ? 'own' : origin !== null ? 'registry' : 'none' })
    if (origin === null || origin === 'ambiguous' || !this.isKnown(origin)) return refuse('stream-unknown', 'it is not known which software version began the stream')
    if (!route.services.some(({ service }) => service === origin.service)) return refuse('stream-version-gone', 'the route no longer leads to the service that began the stream')
    return { type: 'resumed', stream: { key, origin } }
  }

  /** Handles a registry's answer to a lookup. */
  receive ({ call, origin }: Extract<RouteMessage, { type: 'stream-found' }>): void {
    const lookup = this.#lookups.get(call)
    if (lookup === undefined) return
    lookup.pending -= 1
    if (origin !== null || lookup.pending === 0) lookup.finish({ origin, isComplete: lookup.pending === 0 })
  }

  /** Reports the streams of this box to registries that may not know them, also those that have ended; live ones again once their report is old. */
  check (at: number): void {
    for (const { link } of this.#chooseStores()) {
      if (this.#synced.has(link)) continue
      this.#synced.add(link)
      sendReport(link, this.#own.listLatest(maxToldAnew, at).map(([key, origin]) => ({ key, origin })))
    }
    const due = [...this.#live].filter(({ notedAt }) => at - notedAt > renewIntervalMs)
    for (const stream of due) {
      stream.notedAt = at
      this.#own.note(stream.key, stream.origin, at)
    }
    if (due.length > 0) this.#report(due)
  }

  // Without the id of its first request, the origin is known only if there was never another version. An update with one may be unread: the steady clock doesn't show that this box was suspended.
  async #resolveUnnamed (route: Route): Promise<Resumption> {
    const { versions } = this.#host
    const { isComplete } = await this.#lookUp(noStream)
    const origins = route.services.filter(({ weight }) => weight > 0).flatMap(({ service }) => versions.list(service).map(software => ({ service, software })))
    if (origins.length > 1) return refuse('bad-request', 'several software versions have served: the request must name the one that began the stream to resume')
    if (origins.length === 0 || !isComplete || !this.#host.knowsAllVersions()) return refuse('stream-unknown', 'it is not known which software version began the stream')
    return { type: 'resumed', stream: { key: null, origin: origins[0] } }
  }

  /** True if an endpoint of this version is or was known. */
  hasSeen (origin: StreamOrigin): boolean { return this.#host.versions.has(origin) }

  /** True if endpoints can be told to be of this version. */
  isKnown (origin: StreamOrigin): boolean { return this.#host.versions.isKnown(origin) }

  #lookUp (key: StreamKey): Promise<LookupResult> {
    const none: LookupResult = { origin: null, isComplete: false }
    if (this.#lookups.size >= maxLookups) return Promise.resolve(none)
    this.#calls += 1
    const call = this.#calls
    const asked = this.#host.listRegistries().filter(({ link }) => link.send({ type: 'find-stream', call, key }))
    if (asked.length === 0) return Promise.resolve(none)
    return new Promise(resolve => {
      const finish = (result: LookupResult): void => {
        clearTimeout(timer)
        this.#lookups.delete(call)
        resolve(result)
      }
      const startTimer = (): NodeJS.Timeout => {
        const dueAt = this.#host.now() + lookupMs
        return setTimeout(() => {
          if (this.#host.now() - dueAt <= heldUpMs) finish(none)
          else timer = startTimer()
        }, lookupMs)
      }
      let timer = startTimer()
      this.#lookups.set(call, { pending: asked.length, finish })
    })
  }

  #report (streams: readonly LiveStream[]): void {
    for (const { link } of this.#chooseStores()) sendReport(link, streams)
  }

  // One in the box's own zone, and others elsewhere: a zone can be lost as a whole.
  #chooseStores (): LinkedRegistry[] {
    const registries = this.#host.listRegistries()
    const local = this.#choose(registries.filter(({ zone }) => zone === this.#host.zone))
    const remote = this.#choose(registries.filter(one => one !== local && (local === null || one.zone !== this.#host.zone)))
    const other = this.#choose(registries.filter(one => one !== local && one !== remote))
    return [local, remote, other].filter(store => store !== null).slice(0, storeCount)
  }

  #choose (registries: readonly LinkedRegistry[]): LinkedRegistry | null {
    const host = chooseByHash(this.#host.id, registries.map(one => one.host))
    return registries.find(one => one.host === host) ?? null
  }
}

function sendReport (link: Link<RouteMessage>, streams: readonly Pick<LiveStream, 'key' | 'origin'>[]): void {
  const reports = new Map<string, StreamOriginReport & { readonly keys: StreamKey[] }>()
  for (const { key, origin: { service, software } } of streams) {
    const label = `${service} ${software}`
    const report = reports.get(label) ?? { service, software, keys: [] }
    reports.set(label, report)
    report.keys.push(key)
  }
  if (reports.size > 0) link.send({ type: 'stream-origins', origins: [...reports.values()] })
}

function refuse (kind: Refusal['kind'], text: string): Resumption {
  return { type: 'refused', refusal: { kind, text, retryAfterMs: unknownRetryMs } }
}
