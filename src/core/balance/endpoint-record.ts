import type { EndpointId, ServiceName, ZoneName } from '../ids.js'

/**
 * Lifecycle stage of an endpoint. `gone` is announced by the endpoint itself and final; `lost` is inferred from
 * missing messages, and a newer message of the endpoint undoes it.
 */
export type EndpointStage = 'ready' | 'draining' | 'gone' | 'lost'

/** The newest announcement of an endpoint. */
export interface EndpointRecord {
  readonly id: EndpointId
  readonly service: ServiceName
  readonly host: string
  readonly port: number
  readonly zone: ZoneName
  /** Number of requests that it processes concurrently. */
  readonly slots: number
  /** Start time of this incarnation of the endpoint, Unix ms; 0 if unknown. */
  readonly born: number
  /** Version of its software; empty if unknown. */
  readonly software: string
  /** Present for a spot instance, which may be reclaimed at short notice. */
  readonly isSpot?: true
  /** Increases with each message of the endpoint; identifies late ones. */
  readonly sequence: number
  readonly stage: EndpointStage
}
