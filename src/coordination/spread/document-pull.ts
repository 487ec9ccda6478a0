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

interface Asked<Holder> {
  readonly holder: Holder
  readonly at: number
  readonly patienceMs: number
}

export class DocumentPull<Holder> {
  #patience: PullPatience
  #named = new Map<Holder, number>()
  #asked: Asked<Holder> | null = null
  /** Holders that were asked in vain since a document last came. */
  #vain = new Set<Holder>()

  constructor (patience: PullPatience) {
    this.#patience = patience
  }

  /** Holders that said which version they have. */
  get namedCount (): number { return this.#named.size }

  /** Takes a holder's word of the newest version that it has. */
  noteNamed (holder: Holder, version: number): void { this.#named.set(holder, version) }

  /** Takes word that an answer came, whether or not it could be used. */
  noteAnswer (): void {
    this.#asked = null
    this.#vain.clear()
  }

  /** Forgets a holder whose link ended. */
  forget (holder: Holder): void {
    this.#named.delete(holder)
    this.#vain.delete(holder)
  }

  /**
   * Whom to ask now, for a box that has the version `held`; null where nobody is
   * to be asked. What is given counts as asked. `draw`, from 0 up to 1, parts
   * holders that are alike.
   */
  choose (held: number, at: number, draw: number, look: (holder: Holder) => HolderState): PullChoice<Holder> | null {
    const why = this.#explain(at, look)
    if (why === null) return null
    if (why !== 'newer' && this.#asked !== null) this.#vain.add(this.#asked.holder)
    const able = [...this.#named].filter(([holder, version]) => version > held && look(holder).isHeard)
    const holder = pickHolder(able, this.#vain, draw, look)
    if (holder === null) return null
    this.#asked = { holder, at, patienceMs: this.#findPatience(why) }
    return { holder, version: this.#named.get(holder) ?? 0, why }
  }

  // Null while the one that was asked is waited for.
  #explain (at: number, look: (holder: Holder) => HolderState): PullReason | null {
    if (this.#asked === null) return 'newer'
    const { holder, at: askedAt, patienceMs } = this.#asked
    if (!this.#named.has(holder)) return 'ended'
    if (!look(holder).isHeard) return 'silent'
    return at - askedAt >= patienceMs ? 'overdue' : null
  }

  #findPatience (why: PullReason): number {
    const { firstMs, longestMs } = this.#patience
    if (why !== 'overdue' || this.#asked === null) return firstMs
    return Math.min(longestMs, this.#asked.patienceMs * 2)
  }
}

// The newest version first, then those not asked in vain, then the near ones, then by lot.
function pickHolder<Holder> (able: readonly (readonly [Holder, number])[], vain: ReadonlySet<Holder>, draw: number, look: (holder: Holder) => HolderState): Holder | null {
  const newest = Math.max(...able.map(([, version]) => version))
  let holders = able.filter(([, version]) => version === newest).map(([holder]) => holder)
  holders = pickThose(holders, holder => !vain.has(holder))
  holders = pickThose(holders, holder => look(holder).isNear)
  return holders.length === 0 ? null : holders[Math.floor(draw * holders.length)]
}

function pickThose<T> (all: T[], is: (one: T) => boolean): T[] {
  const some = all.filter(is)
  return some.length > 0 ? some : all
}
