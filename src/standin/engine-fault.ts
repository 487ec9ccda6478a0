/** Faults that a stand-in brings about on command. */
export type Fault =
  | { readonly type: 'none' }
  /** Every step takes so many times as long. */
  | { readonly type: 'slow', readonly factor: number }
  /** Connections are reset before the first byte of an answer. */
  | { readonly type: 'reset' }
  /** Requests are taken and never answered. */
  | { readonly type: 'hang' }
  /** Requests are answered with status 503. */
  | { readonly type: 'refuse' }
  /** Every stream is cut after so many tokens, once each. */
  | { readonly type: 'crash', readonly afterTokens: number }
  /** Every stream ends after so many tokens as if it were whole, but for its last event. */
  | { readonly type: 'short', readonly afterTokens: number }
  /** An event that is not JSON is sent after so many tokens. */
  | { readonly type: 'garble', readonly afterTokens: number }

const faultTypes = ['none', 'slow', 'reset', 'hang', 'refuse', 'crash', 'short', 'garble']

/** Reads a fault from a command's body; null where it is none. */
export function parseFault (value: unknown): Fault | null {
  if (typeof value !== 'object' || value === null) return null
  const { type, factor, afterTokens } = value as { type?: string, factor?: number, afterTokens?: number }
  if (type === undefined || !faultTypes.includes(type)) return null
  if (type === 'slow' && !(typeof factor === 'number' && factor > 0)) return null
  if ((type === 'crash' || type === 'short' || type === 'garble') && !Number.isInteger(afterTokens)) return null
  return value as Fault
}
