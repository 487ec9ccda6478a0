/** Selects the notices to send to other boxes: changes, and periodically the full state, as messages get lost. */
import type { EndpointId } from '../ids.js'
import { isSameNotice, joinNotices } from './endpoint-notice.js'
import type { EndpointNotice } from './endpoint-notice.js'
import type { NoticeStore } from './notice-store.js'

/** A changed notice is repeated in every message for this time, ms. */
const repeatMs = 200
/** Interval between full synchronizations, ms; a large state is split over several messages. */
const fullSyncIntervalMs = 500
/** Maximum number of notices per message; a datagram holds at most a thousand. */
const maxNoticesPerMessage = 300

/** Notices that a hub broadcasts, the same to all subscribers. */
export class NoticeBroadcaster {
  #store: NoticeStore
  #changedAt = new Map<EndpointId, number>()
  #lastFullSyncAt = -Infinity
  #nextIndex = 0

  constructor (store: NoticeStore) {
    this.#store = store
  }

  /** Marks a notice as changed. */
  note ({ endpoint }: EndpointNotice, at: number): void { this.#changedAt.set(endpoint, at) }

  /** The notices for the next message. */
  listNext (at: number): EndpointNotice[] {
    for (const [endpoint, since] of this.#changedAt) if (at - since > repeatMs) this.#changedAt.delete(endpoint)
    const changed = [...this.#changedAt.keys()].map(endpoint => this.#store.find(endpoint)).filter(notice => notice !== undefined).slice(0, maxNoticesPerMessage)
    return at - this.#lastFullSyncAt < fullSyncIntervalMs ? changed : [...changed, ...this.#takeSlice(at)]
  }

  #takeSlice (at: number): EndpointNotice[] {
    const { notices } = this.#store
    const slice = notices.slice(this.#nextIndex, this.#nextIndex + maxNoticesPerMessage)
    this.#nextIndex += maxNoticesPerMessage
    if (this.#nextIndex >= notices.length) {
      this.#nextIndex = 0
      this.#lastFullSyncAt = at
    }
    return slice
  }
}

/** Notices that a gateway sends to its hub: each is repeated until the hub echoes it. */
export class NoticeUplink {
  #store: NoticeStore
  #unconfirmed = new Map<EndpointId, EndpointNotice>()

  constructor (store: NoticeStore) {
    this.#store = store
  }

  /** Adds a notice that was read from a response. */
  note (notice: EndpointNotice): void { this.#unconfirmed.set(notice.endpoint, notice) }

  /** Handles the notices received from the hub. */
  confirm (notices: readonly EndpointNotice[]): void {
    for (const notice of notices) {
      const unconfirmed = this.#unconfirmed.get(notice.endpoint)
      if (unconfirmed !== undefined && isSameNotice(joinNotices(unconfirmed, notice), notice)) this.#unconfirmed.delete(notice.endpoint)
    }
  }

  /** Sends everything again after a change of hub, as the new one may have no state. */
  reset (): void { for (const notice of this.#store.notices) this.note(notice) }

  /** The notices for the next message. */
  list (): EndpointNotice[] { return [...this.#unconfirmed.values()].slice(0, maxNoticesPerMessage) }
}
