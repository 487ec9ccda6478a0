/** Faults that can be injected into a stand-in engine. */
export type EngineFault =
  | { readonly type: 'none' }
  /** Multiplies the duration of every step. */
  | { readonly type: 'slow', readonly factor: number }
  /** Closes the connection of each request before the first byte of an answer. */
  | { readonly type: 'reset' }
  /** Accepts requests and never answers. */
  | { readonly type: 'hang' }
  /** Answers requests with status 503. */
  | { readonly type: 'refuse' }
  /** Aborts each stream's connection after the given number of tokens. */
  | { readonly type: 'crash', readonly afterTokens: number }
  /** Ends each stream's response normally after the given number of tokens, but without the final events. */
  | { readonly type: 'short', readonly afterTokens: number }
  /** Sends an event that is not a chunk of a chat completion after the given number of tokens: invalid JSON, unless `data` says otherwise. */
  | { readonly type: 'garble', readonly afterTokens: number, readonly data?: string }

const faultTypes = ['none', 'slow', 'reset', 'hang', 'refuse', 'crash', 'short', 'garble']

/** Validates a parsed JSON value; null where it is not a fault. */
export function parseFault (value: unknown): EngineFault | null {
  if (typeof value !== 'object' || value === null) return null
  const { type, factor, afterTokens, data } = value as { type?: string, factor?: number, afterTokens?: number, data?: unknown }
  if (type === undefined || !faultTypes.includes(type)) return null
  if (type === 'slow' && !(typeof factor === 'number' && factor > 0)) return null
  if ((type === 'crash' || type === 'short' || type === 'garble') && !Number.isInteger(afterTokens)) return null
  if (data !== undefined && typeof data !== 'string') return null
  return value as EngineFault
}
