/** An endpoint's notices as a registry shows them to operators: one entry of `GET /v1/notices`. */
export interface NoticeStatus {
  readonly endpoint: string
  readonly service: string
  /** Maximum requests/s from all boxes together; null for no limit. */
  readonly limit: number | null
  readonly isLeaving: boolean
  /** Time since this registry learned of the notice, ms; null where only back-offs are known. */
  readonly ageMs: number | null
  /** The box that reported the notice to this registry; null where only back-offs are known. */
  readonly from: string | null
  /** Number of boxes that the endpoint has asked to back off. */
  readonly backedOff: number
}
