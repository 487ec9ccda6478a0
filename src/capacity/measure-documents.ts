/** Size and processing time of routing documents sent from registries to gateways, by number of routes. */
import { createHash } from 'node:crypto'
import type { VersionedText } from '../coordination/index.js'
import { encodeValue, nativeDialect, packDocument, unpackDocument } from '../protocol/index.js'
import { measureSlope } from './slope.js'
import type { Slope } from './slope.js'
import { measureMedianUs } from './timing.js'

/** Operations per timed run. */
const repetitions = 10

function hashName (seed: string): string { return createHash('sha256').update(seed).digest('hex').slice(0, 10) }

/** A document with hashed names, as similar names would compress unrealistically well; the first `changedCount` routes have another time-out. */
function composeDocument (version: number, count: number, changedCount: number): VersionedText {
  const routes = Array.from({ length: count }, (_, i) => ({
    name: `r-${hashName(`name ${i}`)}`,
    host: 'camp.example',
    prefix: `/${hashName(`prefix ${i}`)}/`,
    kind: 'events',
    timeoutMs: i < changedCount ? 12_000 : 15_000,
    targetMs: 2000,
    pauseMs: 500,
    priority: 2,
    services: [{ service: 'assistant', weight: 1 }],
    mostAttempts: 2,
    public: false,
    resumable: false
  }))
  return { version, text: JSON.stringify({ version, routes, services: [{ name: 'assistant' }], workspaces: [{ name: 'camp', keys: ['a key'] }] }) }
}

/** Bytes of a whole document and of one change on the link, and the time to pack and to apply a change. */
export function measureDocuments (sizes: readonly number[]): Slope[] {
  const composeVersions = (size: number) => {
    const older = composeDocument(1, size, 0)
    const newer = composeDocument(2, size, 1)
    return { older, newer, change: packDocument(newer, older) }
  }
  return [
    measureSlope('document-bytes', 'routes', 'bytes, whole', sizes, size => encodeValue(packDocument(composeVersions(size).newer, null)).length),
    measureSlope('document-change-bytes', 'routes', 'bytes, one route changed', sizes, size => encodeValue(composeVersions(size).change).length),
    measureSlope('document-pack', 'routes', 'µs to pack one change', sizes, size => {
      const { older, newer } = composeVersions(size)
      return measureMedianUs(repetitions, () => { for (let i = 0; i < repetitions; i++) packDocument(newer, older) })
    }),
    measureSlope('document-take', 'routes', 'µs to unpack and read one change', sizes, size => {
      const { older, change } = composeVersions(size)
      return measureMedianUs(repetitions, () => { for (let i = 0; i < repetitions; i++) nativeDialect.decodeDocument(unpackDocument(change, older)?.text ?? '') })
    })
  ]
}
