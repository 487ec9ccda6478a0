import type { ResultRow } from '../measure/index.js'

/** Rows that differ only in their seed. */
export interface Group {
  readonly user: string
  readonly scenario: string
  readonly policy: string
  readonly class: string
  readonly rows: readonly ResultRow[]
}

/** Mean and range of a value over seeds. */
export interface SeedSpread {
  readonly mean: number
  readonly min: number
  readonly max: number
}

/** Groups rows by user, scenario, policy and class, in order of first occurrence. */
export function groupRows (rows: readonly ResultRow[]): Group[] {
  const groups = new Map<string, ResultRow[]>()
  for (const row of rows) {
    const key = JSON.stringify([row.user, row.scenario, row.policy, row.class])
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [row])
    else group.push(row)
  }
  return [...groups.values()].map(group => {
    const { user, scenario, policy, class: name } = group[0]
    return { user, scenario, policy, class: name, rows: group }
  })
}

/** Computes the mean and range of one column of a group. */
export function computeSpread (group: Group, column: 'attainment' | 'goodput' | 'wasted' | 'worstWaitMs' | 'offered' | 'finished' | 'shed' | 'left' | 'failed'): SeedSpread {
  const values = group.rows.map(row => row[column])
  return { mean: values.reduce((sum, value) => sum + value, 0) / values.length, min: Math.min(...values), max: Math.max(...values) }
}
