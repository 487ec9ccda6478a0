/** docs/MEASURED.md, from the rows of `npm run measure -- --json`. */
import type { Row } from '../measure/index.js'
import { drawShares } from './chart.js'
import type { Bar } from './chart.js'
import { groupRows, readSpread } from './group.js'
import type { Group, Spread } from './group.js'

const own = 'wrenlane'

/** A page and the plots that it shows. */
export interface Report {
  readonly page: string
  readonly plots: ReadonlyMap<string, string>
}

/** Composes tables and plots, by user and scenario. */
export function composeReport (rows: readonly Row[]): Report {
  const groups = groupRows(rows)
  const plots = new Map<string, string>()
  const sections: string[] = []
  for (const user of unique(groups.map(group => group.user))) {
    sections.push(`## ${user}`)
    for (const scenario of unique(groups.filter(group => group.user === user).map(group => group.scenario))) {
      const found = groups.filter(group => group.user === user && group.scenario === scenario)
      const name = `${user}-${scenario}.svg`
      plots.set(name, drawShares(`${user}, ${scenario}: attainment`, found.map(toBar)))
      sections.push(`### ${user}, ${scenario}`, formatTotals(found), formatTable(found), `![attainment](measured/${name})`)
    }
  }
  return { page: `${sections.join('\n\n')}\n`, plots }
}

function toBar (group: Group): Bar {
  const { mean, least, most } = readSpread(group, 'attainment')
  return { label: `${group.policy}, ${group.class}`, value: mean, least, most, isOwn: group.policy === own }
}

// Goodput and waste of all classes together, beside the best of the naive ways.
function formatTotals (groups: readonly Group[]): string {
  const policies = unique(groups.map(group => group.policy))
  const total = (policy: string, column: 'goodput' | 'wasted'): number =>
    groups.filter(group => group.policy === policy).reduce((sum, group) => sum + readSpread(group, column).mean, 0)
  const cells = policies.map(policy => `${policy} ${total(policy, 'goodput').toFixed(1)}/s, ${(total(policy, 'wasted') * 100).toFixed(2)}% wasted`)
  const { rows } = groups[0]
  const violations = groups.filter(group => group.policy === own).flatMap(group => group.rows).reduce((sum, row) => sum + row.violations, 0)
  return `Goodput and waste over all classes: ${cells.join('; ')}. Seeds: ${rows.map(row => row.seed).join(', ')}. Violations of wrenlane's rules: ${violations}.`
}

function formatTable (groups: readonly Group[]): string {
  const lines = ['| policy | class | offered | finished | attainment (least to most) | goodput/s | wasted | worst wait ms | shed | left | failed |', '|---|---|---|---|---|---|---|---|---|---|---|']
  for (const group of groups) {
    const share = readSpread(group, 'attainment')
    const cells = [
      group.policy === own ? `**${own}**` : group.policy,
      group.class,
      round(readSpread(group, 'offered')),
      round(readSpread(group, 'finished')),
      `${percent(share.mean)} (${percent(share.least)} to ${percent(share.most)})`,
      readSpread(group, 'goodput').mean.toFixed(1),
      percent(readSpread(group, 'wasted').mean, 2),
      String(readSpread(group, 'worstWaitMs').most),
      round(readSpread(group, 'shed')),
      round(readSpread(group, 'left')),
      round(readSpread(group, 'failed'))
    ]
    lines.push(`| ${cells.join(' | ')} |`)
  }
  return lines.join('\n')
}

function round (spread: Spread): string {
  return String(Math.round(spread.mean))
}

function percent (share: number, digits = 1): string {
  return `${(share * 100).toFixed(digits)}%`
}

function unique (items: readonly string[]): string[] {
  return [...new Set(items)]
}
