/**
 * Bounds the memory that a box uses for answers which callers read more slowly than endpoints send them. The load that
 * it answers: four callers a second who read 16 KB of an answer of 12 MB and then nothing for 6 s, or who do so with
 * streams of events of 4 KB from endpoints that end a connection whose bytes stay unread for 3 s, beside callers who
 * read slowly but steadily. Without a bound, the first grew the memory of a gateway from 75 to 245 MB; without
 * buffering, endpoints ended 80 of 80 of the streams.
 */

/** An answer of which the box holds bytes. */
export interface HeldAnswer {
  readonly heldBytes: number
  /** Time since the caller last read, ms; 0 while it keeps up; null if nothing of the answer has been relayed, so that there was nothing to read. */
  readonly idleMs: number | null
  /** The longest time so far between two reads of the caller, ms. */
  readonly longestIdleMs: number
}

/** What the box holds of all answers. */
export interface BudgetUse {
  readonly totalBytes: number
  readonly budgetBytes: number
  /** How long endpoints have waited to be read for lack of room, ms; 0 if none has. Moments in which there was room again don't count as an end. */
  readonly unreadMs: number
}

const bytesPerMb = 2 ** 20
/** Share of the box's memory for answers. */
const defaultMemoryShare = 1 / 4
const defaultBudgetMb = 64
/**
 * A relayed answer of which no more than this is held is always read on, so that callers who keep up lose nothing to
 * others. It is the most that Node reads from a connection at once.
 */
export const alwaysReadBytes = 64 * 1024
/**
 * A plain answer with a length is relayed as it arrives once more than this has arrived. Up to then it is always read
 * on: when waiting for room, answers of 200 KB were up to 400 ms late beside callers that stalled.
 */
const relayThresholdBytes = 256 * 1024
/** Maximum size of an answer that can only be relayed as a whole, bytes. */
const maxWholeBytes = 64 * 2 ** 20
/**
 * A caller that has read nothing for this long counts as stalled, ms. Where the system does not list its send queues,
 * reads show in steps of a third of a send buffer of up to 4 MB, so that one who reads 500 KB/s may seem idle for 2.7 s.
 */
const stalledMs = 3000
/** The same once endpoints have waited to be read for `urgentUnreadMs`: endpoints end such answers after some seconds. */
const urgentStalledMs = 1000
const urgentUnreadMs = 400
/** A caller who has read again after a pause may make another of up to this many times its length. */
const pauseTolerance = 2
/** The longest pause that such a caller may make, ms. */
const maxToleratedMs = 8000

/** The bytes that a box may hold; null: not configured. */
export function computeBudgetBytes (budgetMb: number | null, memoryMb: number | null): number {
  if (budgetMb !== null) return budgetMb * bytesPerMb
  return memoryMb === null ? defaultBudgetMb * bytesPerMb : Math.floor(memoryMb * bytesPerMb * defaultMemoryShare)
}

/**
 * What to do with a plain answer of which `receivedBytes` have arrived and nothing was relayed: hold it, so that the
 * request can still be retried, or relay it. `length`: of the whole; null if the endpoint doesn't state it. Such an
 * answer is relayed only as a whole, as some callers could not tell that it was cut off.
 */
export function decidePlainAnswer (receivedBytes: number, length: number | null): 'hold' | 'relay' | 'too-large' {
  if (length !== null) return receivedBytes > relayThresholdBytes ? 'relay' : 'hold'
  return receivedBytes > maxWholeBytes ? 'too-large' : 'hold'
}

/** True if the box may read more of an answer from its endpoint. */
export function mayReceive ({ heldBytes, idleMs }: Pick<HeldAnswer, 'heldBytes' | 'idleMs'>, { totalBytes, budgetBytes }: Pick<BudgetUse, 'totalBytes' | 'budgetBytes'>): boolean {
  return totalBytes <= budgetBytes || heldBytes <= (idleMs === null ? relayThresholdBytes : alwaysReadBytes)
}

/**
 * Chooses the answer to end for lack of room: of those whose callers have stalled, the one with the most bytes times
 * idle time. If no caller can free any bytes because nothing is relayed, it is the largest answer. Null if there is
 * room, or if all callers read: then the box reads from endpoints at the pace of the callers.
 */
export function chooseDropped<A extends HeldAnswer> (answers: Iterable<A>, use: BudgetUse): A | null {
  if (use.totalBytes <= use.budgetBytes) return null
  let stalled: A | null = null
  let largest: A | null = null
  let isAnyRelayed = false
  for (const answer of answers) {
    if (answer.heldBytes === 0) continue
    isAnyRelayed ||= answer.idleMs !== null
    if (isStalled(answer, use.unreadMs) && weigh(answer) > (stalled === null ? 0 : weigh(stalled))) stalled = answer
    if (answer.heldBytes > (largest?.heldBytes ?? 0)) largest = answer
  }
  return isAnyRelayed ? stalled : largest
}

function isStalled ({ idleMs, longestIdleMs }: HeldAnswer, unreadMs: number): boolean {
  const limitMs = unreadMs >= urgentUnreadMs ? urgentStalledMs : stalledMs
  return idleMs !== null && idleMs >= Math.max(limitMs, Math.min(maxToleratedMs, pauseTolerance * longestIdleMs))
}

function weigh ({ heldBytes, idleMs }: HeldAnswer): number { return heldBytes * (idleMs ?? 0) }
