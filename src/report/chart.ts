/** One bar of a chart. */
export interface Bar {
  readonly label: string
  /** 0 to 1. */
  readonly value: number
  readonly least: number
  readonly most: number
  readonly isOwn: boolean
}

const width = 640
const left = 210
const barHeight = 16
const rowHeight = 22
const top = 30

/** A bar chart of shares as SVG, with the spread over seeds as a line on each bar. */
export function drawShares (title: string, bars: readonly Bar[]): string {
  const height = top + bars.length * rowHeight + 10
  const scale = (value: number): number => left + value * (width - left - 60)
  const parts = bars.map((bar, i) => {
    const y = top + i * rowHeight
    const middle = y + barHeight / 2
    return [
      `<text x="${left - 8}" y="${middle + 4}" text-anchor="end">${bar.label}</text>`,
      `<rect x="${left}" y="${y}" width="${scale(bar.value) - left}" height="${barHeight}" fill="${bar.isOwn ? '#2b6cb0' : '#a0aec0'}"/>`,
      `<line x1="${scale(bar.least)}" x2="${scale(bar.most)}" y1="${middle}" y2="${middle}" stroke="#1a202c"/>`,
      `<text x="${scale(bar.value) + 6}" y="${middle + 4}">${(bar.value * 100).toFixed(1)}%</text>`
    ].join('')
  })
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12"><text x="8" y="18" font-weight="bold">${title}</text>${parts.join('')}</svg>\n`
}
