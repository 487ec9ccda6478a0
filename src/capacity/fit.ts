/** One measurement: how much of `y` at a size of `x`. */
export interface Point {
  readonly x: number
  readonly y: number
}

/** A straight line through measurements, and how far they lie from it. */
export interface Fit {
  /** `y` at no size. */
  readonly base: number
  /** `y` for each one more. */
  readonly slope: number
  /** The largest distance of a point from the line, as a share of the largest `y`. */
  readonly spread: number
}

/** Fits a line by least squares. Needs two points or more. */
export function fitLine (points: readonly Point[]): Fit {
  if (points.length < 2) throw new RangeError('a line needs two points')
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
