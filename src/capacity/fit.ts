/** One measurement: `y` at size `x`. */
export interface Point {
  readonly x: number
  readonly y: number
}

/** A line fitted to measurements, with the residual. */
export interface Fit {
  /** `y` at size 0. */
  readonly base: number
  /** Increase of `y` per unit of `x`. */
  readonly slope: number
  /** Largest absolute residual as a fraction of the largest absolute `y`. */
  readonly spread: number
}

/** Fits a line by least squares. Throws for fewer than two points. */
export function fitLine (points: readonly Point[]): Fit {
  if (points.length < 2) throw new RangeError('fitting a line needs at least two points')
  const mean = (of: (point: Point) => number): number => points.reduce((sum, point) => sum + of(point), 0) / points.length
  const [mx, my] = [mean(point => point.x), mean(point => point.y)]
  const sumXY = points.reduce((sum, point) => sum + (point.x - mx) * (point.y - my), 0)
  const sumXX = points.reduce((sum, point) => sum + (point.x - mx) ** 2, 0)
  const slope = sumXX === 0 ? 0 : sumXY / sumXX
  const base = my - slope * mx
  const largestValue = Math.max(...points.map(point => Math.abs(point.y)))
  const largestResidual = Math.max(...points.map(point => Math.abs(point.y - base - slope * point.x)))
  return { base, slope, spread: largestValue === 0 ? 0 : largestResidual / largestValue }
}
