import type { Agent } from 'node:http'
import type { Relay } from './relay-client.js'

/** How one send reaches its endpoint. */
export interface SendPath {
  readonly agent: Agent
  readonly host: string
  readonly port: number
  /** Null for the direct path. */
  readonly relay: Relay | null
  /** Names and values alternately, in addition to those of the request. */
  readonly headers: readonly string[]
}
