/**
 * Decides from which holder a box requests the newest document, and when. Only
 * one request is in flight: a document shares its link with other traffic, so
 * requesting a second copy because the first is slow would delay both. Another
 * holder is asked only if the first can no longer answer (its link closed or went
 * silent) or has not answered within a timeout, which doubles each time. Versions
 * advertised meanwhile wait, because a holder always sends its newest version.
 */

/** Request timeouts while the holder's link is responsive, ms. */
export interface PullTimeouts {
  /** Timeout of the first request. */
  readonly initialMs: number
  /** Upper bound; the timeout doubles with each request that times out. */
  readonly maxMs: number
}

/** Current state of a holder as seen by the requesting box. */
export interface HolderState {
  /** True if data arrived from it recently, so that its answer can be expected. */
  readonly isResponsive: boolean
  /** True if it is cheaper to reach than other holders. */
  readonly isNear: boolean
}

/** Reason for a request: a newer document is available, or the previous request failed because its link ended, its link is silent, or it timed out. */
export type PullReason = 'newer' | 'ended' | 'silent' | 'overdue'

/** The holder to send a request to. */
export interface PullChoice<Holder> {
  readonly holder: Holder
  /** The version it advertised last; it will send this version or a newer one. */
  readonly version: number
  readonly why: PullReason
}

interface PendingRequest<Holder> {
  readonly holder: Holder
  readonly sentAt: number
  readonly timeoutMs: number
}

export class DocumentPull<Holder> {
  #timeouts: PullTimeouts
  #advertised = new Map<Holder, number>()
  #pending: PendingRequest<Holder> | null = null
  /** Holders whose request failed since the last answer. */
  #failed = new Set<Holder>()

  constructor (timeouts: PullTimeouts) {
    this.#timeouts = timeouts
  }

  /** Number of holders that have advertised a version. */
  get advertisedCount (): number { return this.#advertised.size }

  /** Records the newest version that a holder advertises. */
  noteAdvertised (holder: Holder, version: number): void { this.#advertised.set(holder, version) }

  /** Records that an answer arrived, whether or not it was usable. */
  noteAnswer (): void {
    this.#pending = null
    this.#failed.clear()
  }

  /** Removes a holder whose link closed. */
  forget (holder: Holder): void {
    this.#advertised.delete(holder)
    this.#failed.delete(holder)
  }

  /**
   * Chooses the holder to ask now for a version above `held`, and records the
   * request as sent; null if no request is due. `random`, in [0, 1), breaks ties
   * between equally suitable holders.
   */
  choose (held: number, at: number, random: number, getState: (holder: Holder) => HolderState): PullChoice<Holder> | null {
    const why = this.#findReason(at, getState)
    if (why === null) return null
    if (why !== 'newer' && this.#pending !== null) this.#failed.add(this.#pending.holder)
    const candidates = [...this.#advertised].filter(([holder, version]) => version > held && getState(holder).isResponsive)
    const holder = pickHolder(candidates, this.#failed, random, getState)
    if (holder === null) return null
    this.#pending = { holder, sentAt: at, timeoutMs: this.#computeTimeoutMs(why) }
    return { holder, version: this.#advertised.get(holder) ?? 0, why }
  }

  // Null while the pending request may still be answered.
  #findReason (at: number, getState: (holder: Holder) => HolderState): PullReason | null {
    if (this.#pending === null) return 'newer'
    const { holder, sentAt, timeoutMs } = this.#pending
    if (!this.#advertised.has(holder)) return 'ended'
    if (!getState(holder).isResponsive) return 'silent'
    return at - sentAt >= timeoutMs ? 'overdue' : null
  }

  #computeTimeoutMs (why: PullReason): number {
    const { initialMs, maxMs } = this.#timeouts
    if (why !== 'overdue' || this.#pending === null) return initialMs
    return Math.min(maxMs, this.#pending.timeoutMs * 2)
  }
}

// Prefers the newest version, then holders without a failed request, then near ones, and breaks ties at random.
function pickHolder<Holder> (candidates: readonly (readonly [Holder, number])[], failed: ReadonlySet<Holder>, random: number, getState: (holder: Holder) => HolderState): Holder | null {
  const newest = Math.max(...candidates.map(([, version]) => version))
  let holders = candidates.filter(([, version]) => version === newest).map(([holder]) => holder)
  holders = preferMatching(holders, holder => !failed.has(holder))
  holders = preferMatching(holders, holder => getState(holder).isNear)
  return holders.length === 0 ? null : holders[Math.floor(random * holders.length)]
}

function preferMatching<T> (all: T[], isPreferred: (item: T) => boolean): T[] {
  const matching = all.filter(isPreferred)
  return matching.length > 0 ? matching : all
}
