/** What boxes tell each other of a shard: five numbers, whatever its size. */
export interface ShardLoad {
  /** Places that requests which may not wait can use. */
  readonly places: number
  /** Streams of classes that may not wait. */
  readonly quick: number
  /** Streams of classes that may wait, paused ones included. */
  readonly patient: number
  /** Requests queued that may not wait. */
  readonly queued: number
  /** Requests queued that may wait. */
  readonly queuedPatient: number
}
