/** Type guards for the items that registries save besides their log, as a partly written file may contain anything. */
import { findRecordMistake } from '../core/index.js'
import type { EndpointRecord, QuarantineEntry, PromptReport } from '../core/index.js'

/** True for the record of an endpoint that is ready or draining. */
export function isSavedRecord (value: unknown): value is EndpointRecord {
  const { stage } = (value ?? {}) as Partial<EndpointRecord>
  return findRecordMistake(value) === null && (stage === 'ready' || stage === 'draining')
}

/** True for a prompt that an engine has cached. */
export function isSavedPrompt (value: unknown): value is PromptReport {
  if (!Array.isArray(value) || value.length !== 3 || typeof value[0] !== 'string' || value[2] !== true) return false
  return Array.isArray(value[1]) && value[1].every(isPromptPart)
}

/** True for a quarantine entry. */
export function isSavedEntry (value: unknown): value is QuarantineEntry {
  if (value === null || typeof value !== 'object') return false
  const { fingerprint, round, state, service, ended, sound, ends, weight, leftMs } = value as Partial<QuarantineEntry>
  const hasTexts = [fingerprint, service, ...[ended, sound].flatMap(list => Array.isArray(list) ? list : [null])].every(text => typeof text === 'string')
  const hasNumbers = [round, ends, weight, leftMs].every(number => Number.isFinite(number))
  return hasTexts && hasNumbers && (state === 'refused' || state === 'lifted')
}

function isPromptPart (value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && typeof value[0] === 'string' && Number.isFinite(value[1])
}
