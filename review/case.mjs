// What all scripts share: the record, the exit code, and the end of all processes that were started.
import { rmSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment } from './deployment.mjs'

/** Longest duration of a script, ms. */
const limitMs = 110_000

/**
 * Runs one case. `hasTrouble`: whether the case plays its disruption, for the record. `play({ deployment, note })` resolves
 * with what it found: `isBroken`, and `lines` that say why.
 * Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 */
export async function runCase (url, hasTrouble, play) {
  const file = join(dirname(fileURLToPath(url)), 'record.txt')
  const startedAt = Date.now()
  const lines = []
  const note = text => { lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`) }
  rmSync(file, { force: true })
  const deployment = new Deployment(note)
  const finish = async (code, verdict) => {
    await deployment.stop()
    note(verdict)
    writeFileSync(file, `${lines.join('\n')}\n`)
    console.log(verdict)
    process.exit(code)
  }
  const timer = setTimeout(() => void finish(2, 'could not run: out of time'), limitMs)
  note(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)')
  try {
    const { isBroken, lines: found } = await play({ deployment, note })
    clearTimeout(timer)
    for (const line of found) note(line)
    await finish(isBroken ? 1 : 0, `${isBroken ? 'BROKEN' : 'held'}: ${found.at(-1)}`)
  } catch (error) {
    clearTimeout(timer)
    note(error.stack)
    await finish(2, `could not run: ${error.message}`)
  }
}

/** Notes every request of some clients, and what runners ran. */
export function noteTraffic (note, clients, runners) {
  for (const { requests } of clients) {
    for (const { id, path, gateway, isKept, status, end, ms } of requests) note(`client sent ${id} ${path} to edge-${gateway + 1} on a ${isKept ? 'kept' : 'new'} connection: ${end}${status === 0 ? '' : ` with ${status}`} after ${ms ?? '-'} ms`)
  }
  for (const { id, runs } of runners) for (const run of runs) note(`runner ${id} ran ${run.id} ${run.path}${run.isDone ? '' : ', not to its end'}`)
}

/** LOST: requests from kept connections that were handed on to a sound runner, and whose connection then ended with no answer given, not even the head of one. */
export function findLost (clients, runners) {
  const ran = new Set(runners.flatMap(({ runs }) => runs.map(({ id }) => id)))
  return clients.flatMap(({ requests }) => requests).filter(({ id, isKept, status, end }) => isKept && status === 0 && end === 'closed' && ran.has(id))
}
