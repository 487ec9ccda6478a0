/**
 * The directory of endpoints. Updates arrive late, duplicated and out of order, through any box. The newest of
 * each endpoint wins, ordered by incarnation (`born`), then by the sequence number within it, so that all
 * directories that received the same updates are equal.
 */
import type { EndpointId } from '../ids.js'
import { SeenVersions } from '../streams/index.js'
import type { EndpointRecord } from './endpoint-record.js'

/** Number of records of stopped endpoints that are kept, so that late updates don't revive them; the oldest are dropped first. */
const maxGone = 5000

export class EndpointDirectory {
  /** Versions of all records that were ever merged. */
  readonly versions = new SeenVersions()
  #records = new Map<EndpointId, EndpointRecord>()
  #byAddress = new Map<string, EndpointId>()
  #gone: EndpointId[] = []

  /** All records, including those of endpoints that are gone. */
  get records (): EndpointRecord[] { return [...this.#records.values()] }

  find (id: EndpointId): EndpointRecord | undefined { return this.#records.get(id) }

  /** The endpoint that was last announced at an address. */
  findAt ({ host, port }: Pick<EndpointRecord, 'host' | 'port'>): EndpointRecord | undefined {
    const id = this.#byAddress.get(`${host}:${port}`)
    return id === undefined ? undefined : this.#records.get(id)
  }

  /** Merges an update; returns the records that changed in content. */
  merge (update: EndpointRecord): EndpointRecord[] {
    // A deregistration names no service.
    if (update.service !== '') this.versions.note(update)
    const known = this.#records.get(update.id)
    if (known !== undefined && !isNewer(update, known)) return []
    const record = known === undefined ? update : mergeRecords(known, update)
    if (known?.software === '' && record.software !== '' && !isOtherIncarnation(update, known)) this.versions.noteLate(record.service)
    this.#set(record)
    const changed = known === undefined || !isSame(known, record) ? [record] : []
    return [...changed, ...this.#displace(record)]
  }

  /** Marks an endpoint as lost because no message from it has arrived for too long. */
  markLost (id: EndpointId): EndpointRecord[] {
    const known = this.#records.get(id)
    if (known === undefined || known.stage === 'gone' || known.stage === 'lost') return []
    const record: EndpointRecord = { ...known, stage: 'lost' }
    this.#set(record)
    return [record]
  }

  #set (record: EndpointRecord): void {
    this.#records.set(record.id, record)
    if (record.stage !== 'gone') return
    this.#gone.push(record.id)
    if (this.#gone.length > maxGone) this.#records.delete(this.#gone.shift() as EndpointId)
  }

  // An address belongs to the endpoint that was last announced there. If updates arrived out of order, the wrong endpoint is marked lost,
  // until its next update restores it.
  #displace (record: EndpointRecord): EndpointRecord[] {
    if (record.stage === 'gone' || record.stage === 'lost') return []
    const address = `${record.host}:${record.port}`
    const other = this.#byAddress.get(address)
    this.#byAddress.set(address, record.id)
    return other === undefined || other === record.id ? [] : this.markLost(other)
  }
}

function isNewer (update: EndpointRecord, known: EndpointRecord): boolean {
  // If the known incarnation is lost, a clock that was set back may have given the next one an earlier start.
  if (isOtherIncarnation(update, known)) return update.born > known.born || (known.stage === 'lost' && update.stage !== 'lost' && update.stage !== 'gone')
  // The endpoint may be known to be gone before its incarnation is known; another box may supply that.
  if (known.stage === 'gone') return update.stage === 'gone' && update.born > known.born
  if (update.stage === 'gone') return true
  if (update.stage === 'lost') return known.stage !== 'lost' && update.sequence >= known.sequence
  return update.sequence > known.sequence
}

/** True if two records are of different incarnations of an endpoint. A record without a start time belongs to whichever incarnation is known. */
export function isOtherIncarnation (record: EndpointRecord, known: EndpointRecord): boolean {
  return record.born !== known.born && record.born !== 0 && known.born !== 0
}

// The final update of an endpoint carries no other data. A version that an incarnation has named isn't taken back by an update without one. An update without a start time belongs to the known incarnation.
function mergeRecords (known: EndpointRecord, update: EndpointRecord): EndpointRecord {
  if (isOtherIncarnation(update, known)) return update
  const born = Math.max(update.born, known.born)
  return update.stage === 'gone' ? { ...known, born, sequence: Math.max(known.sequence, update.sequence), stage: 'gone' } : { ...update, born, software: update.software === '' ? known.software : update.software }
}

function isSame (a: EndpointRecord, b: EndpointRecord): boolean {
  return a.stage === b.stage && a.host === b.host && a.port === b.port && a.service === b.service && a.zone === b.zone && a.slots === b.slots && a.born === b.born && a.software === b.software
}
