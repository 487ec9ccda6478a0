import { fitLine } from './fit.js'
import type { Fit, Point } from './fit.js'

/** Measurements of a cost at several sizes, with a linear fit. */
export interface Slope {
  readonly name: string
  /** What the sizes count. */
  readonly by: string
  /** Unit of the measurements. */
  readonly unit: string
  readonly points: readonly Point[]
  readonly fit: Fit
}

/** Measures the cost at each size and fits a line. */
export function measureSlope (name: string, by: string, unit: string, sizes: readonly number[], measure: (size: number) => number): Slope {
  const points = sizes.map(x => ({ x, y: measure(x) }))
  return { name, by, unit, points, fit: fitLine(points) }
}

/** Estimates the cost at a size: by linear interpolation within the measured range, by the fit outside it. */
export function estimateAt (slope: Slope, size: number): number {
  const points = [...slope.points].sort((a, b) => a.x - b.x)
  const rightIndex = points.findIndex(point => point.x >= size)
  if (rightIndex < 0 || (rightIndex === 0 && points[0].x > size)) return slope.fit.base + slope.fit.slope * size
  const right = points[rightIndex]
  if (right.x === size) return right.y
  const left = points[rightIndex - 1]
  return left.y + (right.y - left.y) * (size - left.x) / (right.x - left.x)
}
