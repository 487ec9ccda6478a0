import type { ClassName } from './ids.js'

/** A class of requests as configured by operators. Times are in milliseconds. */
export interface RequestClass {
  readonly name: ClassName
  /** 0 is served first; a class with a larger number never displaces one with a smaller number. */
  readonly priority: number
  /** Target for the first token, counted from arrival at the first box. */
  readonly firstTokenMs: number
  /** Target for the time between tokens, 95th percentile. */
  readonly betweenTokenMs: number
  /** Target for the complete response; null if the class has none. */
  readonly wholeMs: number | null
  /** True for a deferrable class: its requests may stay queued past their first-token target. False for an interactive class. */
  readonly mayWait: boolean
  /** Time after which a queued deferrable request is refused. */
  readonly maxWaitMs: number
}
