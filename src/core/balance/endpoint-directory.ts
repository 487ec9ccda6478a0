/**
 * The live directory of endpoints. Words arrive late, twice and out of order,
 * through any box; the newest of each endpoint wins, by its life first and by its
 * sequence within that life, so that all directories that heard the same words
 * are alike.
 */
import type { EndpointId } from '../ids.js'
import type { EndpointRecord } from './endpoint-record.js'

/** Records of endpoints that are gone are kept so that late words don't revive them; the oldest go first. */
const maxGone = 5000

export class EndpointDirectory {
  #records = new Map<EndpointId, EndpointRecord>()
  #byAddress = new Map<string, EndpointId>()
  #gone: EndpointId[] = []

  /** Every record, those of gone endpoints included. */
  get records (): EndpointRecord[] { return [...this.#records.values()] }

  find (id: EndpointId): EndpointRecord | undefined { return this.#records.get(id) }

  /** The endpoint that spoke last from the address of a word. */
  findAt ({ host, port }: Pick<EndpointRecord, 'host' | 'port'>): EndpointRecord | undefined {
    const id = this.#byAddress.get(`${host}:${port}`)
    return id === undefined ? undefined : this.#records.get(id)
  }

  /** Takes in a word; returns the records that it changed for others, or none. */
  merge (update: EndpointRecord): EndpointRecord[] {
    const known = this.#records.get(update.id)
    if (known !== undefined && !isNewer(update, known)) return []
    const record = known === undefined ? update : mergeRecords(known, update)
    this.#set(record)
    const changed = known === undefined || !isSame(known, record) ? [record] : []
    return [...changed, ...this.#displace(record)]
  }

  /** Notes that nothing was heard of an endpoint for long. */
  lose (id: EndpointId): EndpointRecord[] {
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

  // An address belongs to whoever spoke from it last. The other may only seem
  // to be the older one, where words were late: its next word brings it back.
  #displace (record: EndpointRecord): EndpointRecord[] {
    if (record.stage === 'gone' || record.stage === 'lost') return []
    const address = `${record.host}:${record.port}`
    const other = this.#byAddress.get(address)
    this.#byAddress.set(address, record.id)
    return other === undefined || other === record.id ? [] : this.lose(other)
  }
}

function isNewer (update: EndpointRecord, known: EndpointRecord): boolean {
  // Where the known life fell silent, a clock that was set back may have given the next one an earlier start.
  if (isOtherLife(update, known)) return update.born > known.born || (known.stage === 'lost' && update.stage !== 'lost' && update.stage !== 'gone')
  // Of one that was gone before anything else was heard, another box may know which life that was.
  if (known.stage === 'gone') return update.stage === 'gone' && update.born > known.born
  if (update.stage === 'gone') return true
  if (update.stage === 'lost') return known.stage !== 'lost' && update.sequence >= known.sequence
  return update.sequence > known.sequence
}

/** True where two records are of different lives of an endpoint. One that says no life is of whichever life is known. */
export function isOtherLife (record: EndpointRecord, known: EndpointRecord): boolean {
  return record.born !== known.born && record.born !== 0 && known.born !== 0
}

// The last word of an endpoint says nothing but that it is one; a word that says no life is of the known one.
function mergeRecords (known: EndpointRecord, update: EndpointRecord): EndpointRecord {
  if (isOtherLife(update, known)) return update
  const born = Math.max(update.born, known.born)
  return update.stage === 'gone' ? { ...known, born, sequence: Math.max(known.sequence, update.sequence), stage: 'gone' } : { ...update, born }
}

function isSame (a: EndpointRecord, b: EndpointRecord): boolean {
  return a.stage === b.stage && a.host === b.host && a.port === b.port && a.service === b.service && a.zone === b.zone && a.slots === b.slots && a.born === b.born && a.software === b.software
}
