/** Generates docs/MEASURED.md from the output of `npm run measure -- --json`. */
import type { ResultRow } from '../measure/index.js'
import { drawShares } from './chart.js'
import type { Bar } from './chart.js'
import { groupRows, computeSpread } from './group.js'
import type { Group, SeedSpread } from './group.js'

const productPolicy = 'wrenlane'

/** A Markdown page and its plots; `plots` maps file names to SVG. */
export interface Report {
  readonly page: string
  readonly plots: ReadonlyMap<string, string>
}

/** Composes a section with tables and a plot for each user and scenario. */
export function composeReport (rows: readonly ResultRow[]): Report {
  const groups = groupRows(rows)
  const plots = new Map<string, string>()
  const sections: string[] = []
  for (const user of listUnique(groups.map(group => group.user))) {
    sections.push(`## ${user}`)
    for (const scenario of listUnique(groups.filter(group => group.user === user).map(group => group.scenario))) {
      const scenarioGroups = groups.filter(group => group.user === user && group.scenario === scenario)
      const name = `${user}-${scenario}.svg`
      plots.set(name, drawShares(`${user}, ${scenario}: attainment`, scenarioGroups.map(composeBar)))
      sections.push(`### ${user}, ${scenario}`, formatTotals(scenarioGroups), formatTable(scenarioGroups), `![attainment](measured/${name})`)
    }
  }
  return { page: `${sections.join('\n\n')}\n`, plots }
}

function composeBar (group: Group): Bar {
  const { mean, min, max } = computeSpread(group, 'attainment')
  return { label: `${group.policy}, ${group.class}`, value: mean, min, max, isHighlighted: group.policy === productPolicy }
}

// Goodput and waste over all classes, per policy.
function formatTotals (groups: readonly Group[]): string {
  const policies = listUnique(groups.map(group => group.policy))
  const total = (policy: string, column: 'goodput' | 'wasted'): number =>
    groups.filter(group => group.policy === policy).reduce((sum, group) => sum + computeSpread(group, column).mean, 0)
  const cells = policies.map(policy => `${policy} ${total(policy, 'goodput').toFixed(1)}/s, ${(total(policy, 'wasted') * 100).toFixed(2)}% wasted`)
  const { rows } = groups[0]
  const violations = groups.filter(group => group.policy === productPolicy).flatMap(group => group.rows).reduce((sum, row) => sum + row.violations, 0)
  return `Goodput and waste over all classes: ${cells.join('; ')}. Seeds: ${rows.map(row => row.seed).join(', ')}. Violations of wrenlane's rules: ${violations}.`
}

function formatTable (groups: readonly Group[]): string {
  const lines = ['| policy | class | offered | finished | attainment (min to max) | goodput/s | wasted | worst wait ms | shed | left | failed |', '|---|---|---|---|---|---|---|---|---|---|---|']
  for (const group of groups) {
    const share = computeSpread(group, 'attainment')
    const cells = [
      group.policy === productPolicy ? `**${productPolicy}**` : group.policy,
      group.class,
      formatMean(computeSpread(group, 'offered')),
      formatMean(computeSpread(group, 'finished')),
      `${formatPercent(share.mean)} (${formatPercent(share.min)} to ${formatPercent(share.max)})`,
      computeSpread(group, 'goodput').mean.toFixed(1),
      formatPercent(computeSpread(group, 'wasted').mean, 2),
      String(computeSpread(group, 'worstWaitMs').max),
      formatMean(computeSpread(group, 'shed')),
      formatMean(computeSpread(group, 'left')),
      formatMean(computeSpread(group, 'failed'))
    ]
    lines.push(`| ${cells.join(' | ')} |`)
  }
  return lines.join('\n')
}

function formatMean (spread: SeedSpread): string {
  return String(Math.round(spread.mean))
}

function formatPercent (share: number, digits = 1): string {
  return `${(share * 100).toFixed(digits)}%`
}

function listUnique (items: readonly string[]): string[] {
  return [...new Set(items)]
}
