import type { LogEntry, Members, Snapshot } from './log-types.js'

const noMembers: Members = { voters: [], learners: [] }

/** The in-memory log of a replica: its snapshot and the entries after it. */
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
  get snapshotIndex (): number { return this.#snapshot?.index ?? 0 }
  get lastIndex (): number { return this.snapshotIndex + this.#entries.length }
  get lastTerm (): number { return this.termAt(this.lastIndex) ?? 0 }
  get lastTime (): number { return this.#entries.at(-1)?.time ?? this.#snapshot?.time ?? 0 }

  /** The current members: those of the last membership entry appended, committed or not. */
  get members (): Members {
    return this.#memberChanges.at(-1)?.members ?? this.#snapshot?.members ?? noMembers
  }

  /** Index of the last membership entry after the snapshot, or 0. */
  get membersIndex (): number { return this.#memberChanges.at(-1)?.index ?? 0 }

  /** The members as of `index`. */
  membersUpTo (index: number): Members {
    const change = this.#memberChanges.findLast(one => one.index <= index)
    return change?.members ?? this.#snapshot?.members ?? noMembers
  }

  /** The term of the entry at `index`; undefined if the log doesn't hold it. */
  termAt (index: number): number | undefined {
    if (index === 0) return 0
    if (index === this.snapshotIndex) return this.#snapshot?.term
    return this.#entries[index - this.snapshotIndex - 1]?.term
  }

  /** Raft's up-to-date check: true if a log ending at the given position may lack entries committed here. */
  isMoreUpToDateThan (lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.lastTerm) return lastTerm < this.lastTerm
    return lastIndex < this.lastIndex
  }

  get (index: number): LogEntry | undefined {
    return this.#entries[index - this.snapshotIndex - 1]
  }

  /** Up to `maxCount` entries starting at `from`. Throws RangeError if the snapshot covers `from`. */
  slice (from: number, maxCount: number): LogEntry[] {
    if (from <= this.snapshotIndex) throw new RangeError(`entry ${from} was compacted into the snapshot at ${this.snapshotIndex}`)
    const start = from - this.snapshotIndex - 1
    return this.#entries.slice(start, start + maxCount)
  }

  /** The given entries, starting with the first whose term differs from the stored one or that is not stored. */
  listNewEntries (entries: readonly LogEntry[]): readonly LogEntry[] {
    const firstNew = entries.findIndex(entry => this.termAt(entry.index) !== entry.term)
    return firstNew < 0 ? [] : entries.slice(firstNew)
  }

  /** A snapshot of the state after the entry at `index`; undefined if the log doesn't hold it. */
  composeSnapshot (index: number, state: unknown): Snapshot | undefined {
    const entry = this.get(index)
    if (entry === undefined) return undefined
    return { index, term: entry.term, time: entry.time, members: this.membersUpTo(index), state }
  }

  /** Appends entries, first truncating the log at their first index. Throws RangeError on a gap. */
  append (entries: readonly LogEntry[]): void {
    if (entries.length === 0) return
    if (entries[0].index > this.lastIndex + 1) throw new RangeError(`entry ${entries[0].index} leaves a gap after ${this.lastIndex}`)
    this.#truncate(entries[0].index)
    for (const entry of entries) this.#push(entry)
  }

  /** Replaces the entries up to the snapshot's index by the snapshot. */
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
    this.#entries.length = Math.max(0, from - this.snapshotIndex - 1)
    while (this.membersIndex >= from) this.#memberChanges.pop()
  }
}
