import { fitLine } from './fit.js'
import type { Fit, Point } from './fit.js'

/** A measured slope, with what it was measured of. */
export interface Slope {
  readonly name: string
  /** What is counted along. */
  readonly by: string
  /** Unit of the measurements. */
  readonly unit: string
  readonly points: readonly Point[]
  readonly fit: Fit
}

/** Measures `y` at each size. */
export function measureSlope (name: string, by: string, unit: string, sizes: readonly number[], measure: (size: number) => number): Slope {
  const points = sizes.map(x => ({ x, y: measure(x) }))
  return { name, by, unit, points, fit: fitLine(points) }
}

/** What the line gives at a size. */
export function readSlope (slope: Slope, size: number): number {
  return slope.fit.base + slope.fit.slope * size
}
