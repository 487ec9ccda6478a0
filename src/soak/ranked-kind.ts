/** A kind of request to engines, with its load profile. */
export interface RankedKind {
  readonly name: string
  /** 0 is the most urgent. */
  readonly priority: number
  /** Target for the first event of an answer, ms. */
  readonly targetMs: number
  /** Target for the pause between two events, ms. */
  readonly pauseMs: number
  /** Timeout of the kind's route, ms. */
  readonly timeoutMs: number
  /** Nominal prompt size; sizes are drawn from 0.2 to 2 times it. */
  readonly promptTokens: number
  /** Number of events of an answer. */
  readonly events: number
  /** Requests/s per engine outside of bursts. */
  readonly rate: number
}

/**
 * The mix of requests of a chain of tyre shops: quick questions, claim tags and
 * fitting quotes. Together their prompts take two thirds of the engines' prefill capacity.
 */
export const rankedKinds: readonly RankedKind[] = [
  { name: 'question', priority: 0, targetMs: 250, pauseMs: 120, timeoutMs: 15_000, promptTokens: 700, events: 20, rate: 7.5 },
  { name: 'tag', priority: 1, targetMs: 400, pauseMs: 200, timeoutMs: 3000, promptTokens: 2000, events: 4, rate: 6 },
  { name: 'quote', priority: 2, targetMs: 2000, pauseMs: 500, timeoutMs: 15_000, promptTokens: 8000, events: 30, rate: 3.5 }
]
