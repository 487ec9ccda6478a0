import { isHeaderText, isHostText } from '../header-text.js'
import type { EndpointId, ServiceName, ZoneName } from '../ids.js'

/**
 * Lifecycle stage of an endpoint. `gone` is announced by the endpoint itself and final; `lost` is inferred from
 * missing messages, and a newer message of the endpoint undoes it.
 */
export type EndpointStage = 'ready' | 'draining' | 'gone' | 'lost'

const stages: ReadonlySet<unknown> = new Set<EndpointStage>(['ready', 'draining', 'gone', 'lost'])
/** Highest TCP port. */
export const maxPort = 65_535

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

/** True for a text by which an endpoint can be addressed in headers and paths. */
export function isEndpointId (text: string): text is EndpointId { return text !== '' && !text.includes('/') && isHeaderText(text) }

/**
 * Names the first field that keeps a value from being the record of an endpoint that requests can be sent to; null if there
 * is none. For records that were saved, or come from another box: either may be of an earlier build, which checked less.
 */
export function findRecordMistake (value: unknown): keyof EndpointRecord | null {
  const { id, service, host, port, zone, slots, born, software, sequence, stage } = (value ?? {}) as Partial<Record<keyof EndpointRecord, unknown>>
  if (!isText(id) || !isEndpointId(id)) return 'id'
  if (!stages.has(stage)) return 'stage'
  if (!isText(service)) return 'service'
  if (!isText(zone)) return 'zone'
  if (!isText(software)) return 'software'
  // An endpoint that deregisters names no address.
  const isReachable = stage === 'ready' || stage === 'draining'
  if (!isText(host) || (isReachable && !isHostText(host))) return 'host'
  if (!isCount(port) || port > maxPort || (isReachable && port === 0)) return 'port'
  if (!isCount(slots)) return 'slots'
  if (!isCount(born)) return 'born'
  return isCount(sequence) ? null : 'sequence'
}

/** Separates records of another box by whether requests can be sent to their endpoints. `report` gets the others, with the field at fault. */
export function filterRecords (records: readonly EndpointRecord[], report: (id: string, field: keyof EndpointRecord) => void): EndpointRecord[] {
  return records.filter(record => {
    const field = findRecordMistake(record)
    if (field !== null) report(String((record as EndpointRecord | null)?.id), field)
    return field === null
  })
}

function isText (value: unknown): value is string { return typeof value === 'string' && isHeaderText(value) }

function isCount (value: unknown): value is number { return Number.isSafeInteger(value) && (value as number) >= 0 }
