/** What registries save beside their log, as it is told from what a torn file may hold. */
import type { EndpointRecord, QuarantineEntry, ReadPrompt } from '../core/index.js'

/** True for the record of an endpoint that is there. */
export function isSavedRecord (one: unknown): one is EndpointRecord {
  if (one === null || typeof one !== 'object') return false
  const { id, service, host, zone, port, slots, born, software, sequence, stage } = one as Partial<EndpointRecord>
  const hasTexts = [id, service, host, zone, software].every(text => typeof text === 'string')
  const hasNumbers = [port, slots, born, sequence].every(number => Number.isInteger(number))
  return hasTexts && hasNumbers && (stage === 'ready' || stage === 'draining')
}

/** True for what an engine holds of a prompt. */
export function isSavedPrompt (one: unknown): one is ReadPrompt {
  if (!Array.isArray(one) || one.length !== 3 || typeof one[0] !== 'string' || one[2] !== true) return false
  return Array.isArray(one[1]) && one[1].every(isPart)
}

/** True for a request in quarantine. */
export function isSavedEntry (one: unknown): one is QuarantineEntry {
  if (one === null || typeof one !== 'object') return false
  const { fingerprint, round, state, service, ended, sound, ends, weight, leftMs } = one as Partial<QuarantineEntry>
  const hasTexts = [fingerprint, service, ...[ended, sound].flatMap(list => Array.isArray(list) ? list : [null])].every(text => typeof text === 'string')
  const hasNumbers = [round, ends, weight, leftMs].every(number => Number.isFinite(number))
  return hasTexts && hasNumbers && (state === 'refused' || state === 'lifted')
}

function isPart (one: unknown): boolean {
  return Array.isArray(one) && one.length === 2 && typeof one[0] === 'string' && Number.isFinite(one[1])
}
