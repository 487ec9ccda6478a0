/** One bar of a chart. */
export interface Bar {
  readonly label: string
  /** Fraction, 0 to 1. `min` and `max` are its range over seeds. */
  readonly value: number
  readonly min: number
  readonly max: number
  readonly isHighlighted: boolean
}

const width = 640
const plotLeft = 210
const barHeight = 16
const rowHeight = 22
const plotTop = 30

/** Renders a bar chart of fractions as SVG, with a line on each bar for the range from `min` to `max`. */
export function drawShares (title: string, bars: readonly Bar[]): string {
  const height = plotTop + bars.length * rowHeight + 10
  const scale = (value: number): number => plotLeft + value * (width - plotLeft - 60)
  const parts = bars.map((bar, i) => {
    const y = plotTop + i * rowHeight
    const middle = y + barHeight / 2
    return [
      `<text x="${plotLeft - 8}" y="${middle + 4}" text-anchor="end">${bar.label}</text>`,
      `<rect x="${plotLeft}" y="${y}" width="${scale(bar.value) - plotLeft}" height="${barHeight}" fill="${bar.isHighlighted ? '#2b6cb0' : '#a0aec0'}"/>`,
      `<line x1="${scale(bar.min)}" x2="${scale(bar.max)}" y1="${middle}" y2="${middle}" stroke="#1a202c"/>`,
      `<text x="${scale(bar.value) + 6}" y="${middle + 4}">${(bar.value * 100).toFixed(1)}%</text>`
    ].join('')
  })
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12"><text x="8" y="18" font-weight="bold">${title}</text>${parts.join('')}</svg>\n`
}
