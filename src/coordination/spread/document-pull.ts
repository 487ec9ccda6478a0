/**
 * Decides from whom a box asks for the newest document, and when. One copy at a
 * time is on its way: a document comes over the link that also carries the
 * traffic, so a second copy, asked for because the first takes long, would make
 * both late. Another holder is asked only where the first can't answer any more
 * (its link ended, or fell silent) or has not for long, each time longer.
 * Versions that are named meanwhile wait: whoever is asked sends the newest that
 * it has.
 */

/** How long a holder that was asked is waited for while its link lives, ms. */
export interface PullPatience {
  /** The first one. */
  readonly firstMs: number
  /** It doubles with each holder that was waited for in vain, up to this. */
  readonly longestMs: number
}

/** A holder of a document, as its asker sees it now. */
export interface HolderState {
  /** Something came from it just now, so that what it sends still comes. */
  readonly isHeard: boolean
  /** It is cheaper to ask than the others. */
  readonly isNear: boolean
}

/** Why somebody is asked: a newer document is there, or the one that was asked last is out of reach or late. */
export type PullReason = 'newer' | 'ended' | 'silent' | 'overdue'

/** Whom to ask. */
export interface PullChoice<Holder> {
  readonly holder: Holder
  /** What it named last: it sends this version or a newer one. */
  readonly version: number
  readonly why: PullReason
}

interface PendingRequest<Holder> {
  readonly holder: Holder
  readonly sentAt: number
  readonly timeoutMs: number
}

export class DocumentPull<Holder> {
  #timeouts: PullPatience
  #advertised = new Map<Holder, number>()
  #pending: PendingRequest<Holder> | null = null
  /** Holders that were asked in vain since a document last came. */
  #failed = new Set<Holder>()

  constructor (timeouts: PullPatience) {
    this.#timeouts = timeouts
  }

  /** Holders that said which version they have. */
  get namedCount (): number { return this.#advertised.size }

  /** Takes a holder's word of the newest version that it has. */
  noteNamed (holder: Holder, version: number): void { this.#advertised.set(holder, version) }

  /** Takes word that an answer came, whether or not it could be used. */
  noteAnswer (): void {
    this.#pending = null
    this.#failed.clear()
  }

  /** Forgets a holder whose link ended. */
  forget (holder: Holder): void {
    this.#advertised.delete(holder)
    this.#failed.delete(holder)
  }

  /**
   * Whom to ask now, for a box that has the version `held`; null where nobody is
   * to be asked. What is given counts as asked. `draw`, from 0 up to 1, parts
   * holders that are alike.
   */
  choose (held: number, at: number, random: number, getState: (holder: Holder) => HolderState): PullChoice<Holder> | null {
    const why = this.#findReason(at, getState)
    if (why === null) return null
    if (why !== 'newer' && this.#pending !== null) this.#failed.add(this.#pending.holder)
    const candidates = [...this.#advertised].filter(([holder, version]) => version > held && getState(holder).isHeard)
    const holder = pickHolder(candidates, this.#failed, random, getState)
    if (holder === null) return null
    this.#pending = { holder, sentAt: at, timeoutMs: this.#computeTimeoutMs(why) }
    return { holder, version: this.#advertised.get(holder) ?? 0, why }
  }

  // Null while the one that was asked is waited for.
  #findReason (at: number, getState: (holder: Holder) => HolderState): PullReason | null {
    if (this.#pending === null) return 'newer'
    const { holder, sentAt: sentAt, timeoutMs: timeoutMs } = this.#pending
    if (!this.#advertised.has(holder)) return 'ended'
    if (!getState(holder).isHeard) return 'silent'
    return at - sentAt >= timeoutMs ? 'overdue' : null
  }

  #computeTimeoutMs (why: PullReason): number {
    const { firstMs, longestMs } = this.#timeouts
    if (why !== 'overdue' || this.#pending === null) return firstMs
    return Math.min(longestMs, this.#pending.timeoutMs * 2)
  }
}

// The newest version first, then those not asked in vain, then the near ones, then by lot.
function pickHolder<Holder> (candidates: readonly (readonly [Holder, number])[], failed: ReadonlySet<Holder>, random: number, getState: (holder: Holder) => HolderState): Holder | null {
  const newest = Math.max(...candidates.map(([, version]) => version))
  let holders = candidates.filter(([, version]) => version === newest).map(([holder]) => holder)
  holders = preferMatching(holders, holder => !failed.has(holder))
  holders = preferMatching(holders, holder => getState(holder).isNear)
  return holders.length === 0 ? null : holders[Math.floor(random * holders.length)]
}

function preferMatching<T> (all: T[], isPreferred: (one: T) => boolean): T[] {
  const matching = all.filter(isPreferred)
  return matching.length > 0 ? matching : all
}
