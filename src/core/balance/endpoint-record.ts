import type { EndpointId, ServiceName, ZoneName } from '../ids.js'

/**
 * Where an endpoint is in its life. `gone` is its own last word and final;
 * `lost` is a guess from its silence that a newer word of its own undoes.
 */
export type EndpointStage = 'ready' | 'draining' | 'gone' | 'lost'

/** What an endpoint says of itself, by its newest word. */
export interface EndpointRecord {
  readonly id: EndpointId
  readonly service: ServiceName
  readonly host: string
  readonly port: number
  readonly zone: ZoneName
  /** Requests that it works on at once. */
  readonly slots: number
  /** When this life of the endpoint began, Unix ms; 0 where it doesn't say. */
  readonly born: number
  /** Version of what it runs; empty where it doesn't say. */
  readonly software: string
  /** There for one that may be taken back at short notice. */
  readonly isSpot?: true
  /** Rises with each word of the endpoint; tells a late one. */
  readonly sequence: number
  readonly stage: EndpointStage
}
