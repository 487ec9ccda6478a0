/** Kinds of request to engines, and those that histories use. */

/** A kind of request to engines. */
export interface RankedKind {
  readonly name: string
  /** 0 goes first. */
  readonly priority: number
  readonly targetMs: number
  readonly pauseMs: number
  /** The longest that a request of the kind is held, ms. */
  readonly timeoutMs: number
  /** Of the middle prompt; they are drawn from a fifth of it to twice as much. */
  readonly promptTokens: number
  readonly events: number
  /** Requests a second for each engine, while there is no burst. */
  readonly rate: number
}

/**
 * In proportion as at the users' tyre shops: quick questions, claim tags and
 * fitting quotes. Together they ask two thirds of what the engines can read.
 */
export const rankedKinds: readonly RankedKind[] = [
  { name: 'question', priority: 0, targetMs: 250, pauseMs: 120, timeoutMs: 15_000, promptTokens: 700, events: 20, rate: 7.5 },
  { name: 'tag', priority: 1, targetMs: 400, pauseMs: 200, timeoutMs: 3000, promptTokens: 2000, events: 4, rate: 6 },
  { name: 'quote', priority: 2, targetMs: 2000, pauseMs: 500, timeoutMs: 15_000, promptTokens: 8000, events: 30, rate: 3.5 }
]
