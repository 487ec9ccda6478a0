/** Runs one case: its record in `record.txt`, its exit code, and its longest time. */
import { rmSync, appendFileSync } from 'node:fs'
import { join } from 'node:path'
import { CannotRun } from './deployment-2.mjs'

const maxSeconds = 118

/** True where the disruption is left out. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Runs `play`, which returns the broken rules as texts; `folder`: that of the case. */
export async function runCase (folder, play) {
  const path = join(folder, 'record.txt')
  rmSync(path, { force: true })
  const startedAt = Date.now()
  const note = text => appendFileSync(path, `${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`)
  const stops = []
  const stop = async () => { for (const one of stops.splice(0).reverse()) await one() }
  const timer = setTimeout(() => {
    note('the case took too long')
    stop().finally(() => process.exit(2))
  }, maxSeconds * 1000)
  let code
  try {
    const breaks = await play({ note, onStop: one => stops.push(one) })
    for (const one of breaks) note(`BROKEN ${one}`)
    note(breaks.length === 0 ? 'the rule held' : 'the rule was broken')
    code = breaks.length === 0 ? 0 : 1
  } catch (error) {
    note(`the case could not run: ${error instanceof CannotRun ? error.message : error.stack}`)
    code = 2
  }
  clearTimeout(timer)
  await stop()
  process.exit(code)
}
