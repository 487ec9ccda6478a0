/** What registries save beside their log, as it is told from what a torn file may hold. */
import type { EndpointRecord, ReadPrompt } from '../core/index.js'

/** True for the record of an endpoint that is there. */
export function isSavedRecord (one: unknown): one is EndpointRecord {
  if (one === null || typeof one !== 'object') return false
  const { id, service, host, zone, port, slots, sequence, stage } = one as Partial<EndpointRecord>
  const hasTexts = [id, service, host, zone].every(text => typeof text === 'string')
  const hasNumbers = [port, slots, sequence].every(number => Number.isInteger(number))
  return hasTexts && hasNumbers && (stage === 'ready' || stage === 'draining')
}

/** True for what an engine holds of a prompt. */
export function isSavedPrompt (one: unknown): one is ReadPrompt {
  if (!Array.isArray(one) || one.length !== 3 || typeof one[0] !== 'string' || one[2] !== true) return false
  return Array.isArray(one[1]) && one[1].every(isPart)
}

function isPart (one: unknown): boolean {
  return Array.isArray(one) && one.length === 2 && typeof one[0] === 'string' && Number.isFinite(one[1])
}
