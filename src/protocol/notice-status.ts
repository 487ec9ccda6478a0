/** An endpoint's notices as a registry shows them to operators: one entry of `GET /v1/notices`. */
export interface NoticeStatus {
  readonly endpoint: string
  readonly service: string
  /** Maximum requests/s from all boxes together; null for no limit. */
  readonly limit: number | null
  /** How many requests it can refuse within a second before it fails; missing where it does not say so. */
  readonly brittle?: number
  readonly isLeaving: boolean
  /** Time since this registry learned of the notice, ms; null where only back-offs are known. */
  readonly ageMs: number | null
  /** The box that reported the notice to this registry; null where only back-offs are known. */
  readonly from: string | null
  /** Number of boxes that the endpoint has asked to back off. */
  readonly backedOff: number
}

/** A gateway that has lost paths to endpoints, as a registry shows it to operators: one entry of `GET /v1/lost-paths`. */
export interface LostPathStatus {
  readonly gateway: string
  /** Services with endpoints that it reaches only through other gateways. */
  readonly services: readonly string[]
}
