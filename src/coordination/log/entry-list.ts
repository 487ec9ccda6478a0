import type { LogEntry, Members, Snapshot } from './log-types.js'

const noMembers: Members = { voters: [], learners: [] }

/** The entries that a replica holds after its snapshot, with their terms and members. */
export class EntryList {
  #snapshot: Snapshot | null
  #entries: LogEntry[]
  #memberChanges: { index: number, members: Members }[] = []

  constructor (snapshot: Snapshot | null, entries: readonly LogEntry[]) {
    this.#snapshot = snapshot
    this.#entries = []
    for (const entry of entries) this.#push(entry)
  }

  get snapshot (): Snapshot | null { return this.#snapshot }
  get base (): number { return this.#snapshot?.index ?? 0 }
  get lastIndex (): number { return this.base + this.#entries.length }
  get lastTerm (): number { return this.termAt(this.lastIndex) ?? 0 }
  get lastTime (): number { return this.#entries.at(-1)?.time ?? this.#snapshot?.time ?? 0 }

  /** The members in force: the last that were appended, committed or not. */
  get members (): Members {
    return this.#memberChanges.at(-1)?.members ?? this.#snapshot?.members ?? noMembers
  }

  /** The index of the last change of members that the entries hold, or 0. */
  get membersIndex (): number { return this.#memberChanges.at(-1)?.index ?? 0 }

  /** The members in force at `index`. */
  membersUpTo (index: number): Members {
    const change = this.#memberChanges.findLast(one => one.index <= index)
    return change?.members ?? this.#snapshot?.members ?? noMembers
  }

  /** The term of an entry; undefined where it's not held. */
  termAt (index: number): number | undefined {
    if (index === 0) return 0
    if (index === this.base) return this.#snapshot?.term
    return this.#entries[index - this.base - 1]?.term
  }

  /** True where another log with this end lacks what may be committed here. */
  isMoreUpToDateThan (lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.lastTerm) return lastTerm < this.lastTerm
    return lastIndex < this.lastIndex
  }

  get (index: number): LogEntry | undefined {
    return this.#entries[index - this.base - 1]
  }

  /** At most `most` entries from `from` on. Throws RangeError where the snapshot holds `from`. */
  slice (from: number, maxCount: number): LogEntry[] {
    if (from <= this.base) throw new RangeError(`entry ${from} is in the snapshot at ${this.base}`)
    const start = from - this.base - 1
    return this.#entries.slice(start, start + maxCount)
  }

  /** Those of the entries, from the first on, that are not held yet with the same term. */
  listNewEntries (entries: readonly LogEntry[]): readonly LogEntry[] {
    const firstNew = entries.findIndex(entry => this.termAt(entry.index) !== entry.term)
    return firstNew < 0 ? [] : entries.slice(firstNew)
  }

  /** A snapshot of the state after an entry; undefined where the entry is not held. */
  composeSnapshot (index: number, state: unknown): Snapshot | undefined {
    const entry = this.get(index)
    if (entry === undefined) return undefined
    return { index, term: entry.term, time: entry.time, members: this.membersUpTo(index), state }
  }

  /** Appends, dropping what stood at the same indexes before. Throws RangeError on a gap. */
  append (entries: readonly LogEntry[]): void {
    if (entries.length === 0) return
    if (entries[0].index > this.lastIndex + 1) throw new RangeError(`entry ${entries[0].index} after ${this.lastIndex}`)
    this.#truncate(entries[0].index)
    for (const entry of entries) this.#push(entry)
  }

  /** Puts a snapshot in place of the entries up to it. */
  compact (snapshot: Snapshot): void {
    const retained = this.termAt(snapshot.index) === snapshot.term ? this.slice(snapshot.index + 1, Infinity) : []
    this.#snapshot = snapshot
    this.#entries = []
    this.#memberChanges = []
    for (const entry of retained) this.#push(entry)
  }

  #push (entry: LogEntry): void {
    this.#entries.push(entry)
    if (entry.content.type === 'members') this.#memberChanges.push({ index: entry.index, members: entry.content.members })
  }

  #truncate (from: number): void {
    this.#entries.length = Math.max(0, from - this.base - 1)
    while (this.membersIndex >= from) this.#memberChanges.pop()
  }
}
