/**
 * Decides what makes room when the memory for clients, or the number of connections, is used up. Only requests that are
 * still arriving are refused, and only connections without a complete request are closed: no work that was begun.
 */

/** A request that is arriving. */
export interface ArrivingRequest {
  /** Memory that it uses, bytes. */
  readonly heldBytes: number
  /** When it began to arrive, and when some of it last arrived: monotonic time, ms. */
  readonly startedAt: number
  readonly movedAt: number
}

/** What a process holds for its clients, bytes. */
export interface MemoryUse {
  readonly budgetBytes: number
  /** All that is held, and the part of it for requests. */
  readonly totalBytes: number
  readonly requestBytes: number
}

/**
 * `opening`: no request on it has ever been complete. `resting`: between two requests. `receiving`: a request has a
 * complete head, but not its whole body. `serving`: a complete request has no complete answer.
 */
export type ConnectionStage = 'opening' | 'resting' | 'receiving' | 'serving'

/** A connection; `since`: when its stage began, or when something last arrived while it is `receiving`. */
export interface StagedConnection {
  readonly stage: ConnectionStage
  readonly since: number
}

/** Requests up to this size are small, bytes. */
const smallBytes = 128 * 1024
/** Share of the budget that small requests get whatever answers hold. */
const reservedShare = 1 / 4
/** Shares of the budget that all requests hold at most when a small or a large one grows. */
const smallShare = 3 / 4
const largeShare = 1 / 2
/** A request of which nothing has arrived for this long has stalled, ms. */
const stalledMs = 1000

/** The largest request that the budget bears, bytes. */
export function computeLargestRequest (budgetBytes: number): number { return Math.floor(budgetBytes * largeShare) }

/** Whether a request of this size is a large one. */
export function isLarge (size: number): boolean { return size > smallBytes }

/** Whether a request may grow by `bytes` to `size`. */
export function mayGrow (size: number, bytes: number, { budgetBytes, totalBytes, requestBytes }: MemoryUse): boolean {
  const isSmall = !isLarge(size)
  if (isSmall && requestBytes + bytes <= budgetBytes * reservedShare) return true
  return requestBytes + bytes <= budgetBytes * (isSmall ? smallShare : largeShare) && totalBytes + bytes <= budgetBytes
}

/**
 * Chooses the request to refuse for lack of memory: of those that have stalled, the one with the most bytes times idle
 * time; else, of those that hold an equal share or more, the one that began last, so that earlier ones complete. `large`:
 * the one that needs the memory, if it grows beyond a small size; it counts among the latter. Null if there is none.
 */
export function chooseRefused<R extends ArrivingRequest> (requests: ReadonlySet<R>, now: number, large: R | null): R | null {
  let stalled: R | null = null
  let totalBytes = 0
  for (const request of requests) {
    totalBytes += request.heldBytes
    if (now - request.movedAt >= stalledMs && weigh(request, now) > (stalled === null ? 0 : weigh(stalled, now))) stalled = request
  }
  if (stalled !== null) return stalled
  let newest: R | null = null
  for (const request of requests) {
    const isCandidate = request === large || (request.heldBytes > 0 && request.heldBytes * requests.size >= totalBytes)
    if (isCandidate && (newest === null || request.startedAt >= newest.startedAt)) newest = request
  }
  return newest
}

function weigh ({ heldBytes, movedAt }: ArrivingRequest, now: number): number { return heldBytes * (now - movedAt) }

const closingOrder: Readonly<Record<ConnectionStage, number>> = { opening: 0, resting: 1, receiving: 2, serving: 3 }

/** Chooses the connection to close for a new one: the longest in the earliest stage. Null if all are serving. */
export function chooseClosed<C extends StagedConnection> (connections: Iterable<C>): C | null {
  let chosen: C | null = null
  for (const connection of connections) {
    if (connection.stage !== 'serving' && (chosen === null || isBefore(connection, chosen))) chosen = connection
  }
  return chosen
}

function isBefore (one: StagedConnection, other: StagedConnection): boolean {
  const order = closingOrder[one.stage] - closingOrder[other.stage]
  return order < 0 || (order === 0 && one.since < other.since)
}
