/** What an endpoint says of itself on its answers, as a registry tells operators: one entry of `GET /v1/notices`. */
export interface NoticeStatus {
  readonly endpoint: string
  readonly service: string
  /** Requests a second that it takes from all boxes together; null for no limit. */
  readonly limit: number | null
  readonly isLeaving: boolean
  /** Since this registry knows it, ms; null where only back-off is known. */
  readonly ageMs: number | null
  /** The box that told this registry; null where only back-off is known. */
  readonly from: string | null
  /** Boxes that it has asked to back off. */
  readonly backedOff: number
}
