import type { RequestProfile } from './work.js'

/** A request of this box in flight at an endpoint. */
export interface PlacedRequest {
  readonly work: RequestProfile
  /** Prompt tokens that the engine is expected to read for it. */
  readonly readTokens: number
  /** Expected time to transfer the part of the prompt that another engine has cached, ms. */
  readonly fetchMs: number
  /** Tokens that waited ahead of it when it was sent. */
  readonly aheadTokens: number
  readonly memory: number
  readonly sentAt: number
  firstAt: number | null
  lastEventAt: number
}
