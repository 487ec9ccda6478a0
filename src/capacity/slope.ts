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

/** What is expected at a size: between two measured points the line through them, outside them the fit. */
export function estimateAt (slope: Slope, size: number): number {
  const points = [...slope.points].sort((a, b) => a.x - b.x)
  const rightIndex = points.findIndex(point => point.x >= size)
  if (rightIndex < 0 || (rightIndex === 0 && points[0].x > size)) return slope.fit.base + slope.fit.slope * size
  const right = points[rightIndex]
  if (right.x === size) return right.y
  const left = points[rightIndex - 1]
  return left.y + (right.y - left.y) * (size - left.x) / (right.x - left.x)
}
