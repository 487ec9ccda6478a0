import { readFileSync } from 'node:fs'
import { fitLine } from './fit.js'
import type { Slope } from './slope.js'

/** One measurement of an entry process under load, as written by scripts/capacity.sh. */
export interface EntrySample {
  readonly kind: 'requests' | 'tokens' | 'streams' | 'idle-engines'
  /** Requests or tokens a second, open streams, or configured engines. */
  readonly x: number
  /** CPU seconds a second, or resident MB. */
  readonly y: number
}

/** Reads samples from a file with one JSON object a line. */
export function readSamples (path: string): EntrySample[] {
  return readFileSync(path, 'utf8').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as EntrySample)
}

const slopeTexts: Readonly<Record<EntrySample['kind'], { readonly name: string, readonly by: string, readonly unit: string }>> = {
  requests: { name: 'entry-requests', by: 'short requests/s', unit: 'cores' },
  tokens: { name: 'entry-tokens', by: 'tokens/s', unit: 'cores' },
  streams: { name: 'entry-streams', by: 'open streams', unit: 'MB resident' },
  'idle-engines': { name: 'entry-idle', by: 'engines scheduled, no callers', unit: 'cores' }
}

/** Fits one slope per kind; kinds with fewer than two samples are left out. */
export function fitSamples (samples: readonly EntrySample[]): Slope[] {
  const slopes: Slope[] = []
  for (const [kind, { name, by, unit }] of Object.entries(slopeTexts)) {
    const points = samples.filter(sample => sample.kind === kind).map(({ x, y }) => ({ x, y }))
    if (points.length >= 2) slopes.push({ name, by, unit, points, fit: fitLine(points) })
  }
  return slopes
}
