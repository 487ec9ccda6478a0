import type { ClassName } from './ids.js'

/** A class of requests as operators state it. Times are in milliseconds. */
export interface RequestClass {
  readonly name: ClassName
  /** 0 is served first; a larger number never displaces a smaller one. */
  readonly priority: number
  /** Target for the first token, counted from arrival at the first box. */
  readonly firstTokenMs: number
  /** Target between tokens, for 95 in 100. */
  readonly betweenTokenMs: number
  /** Target for the whole answer; null where the class has none. */
  readonly wholeMs: number | null
  /** True where a request may wait in the queue past its first-token target. */
  readonly mayWait: boolean
  /** How long a request that may wait is kept in the queue. */
  readonly maxWaitMs: number
}
