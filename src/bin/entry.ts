#!/usr/bin/env node
/** `wrenlane-entry`: runs an entry box, which receives requests and schedules them on engines. */
import { entryFields } from '../config/index.js'
import type { EntrySettings } from '../config/index.js'
import { Metrics, openProgramLog } from '../runtime/index.js'
import { EntryBox } from '../tasks/index.js'
import { createProgram, handleSignals, readSecret, readSettings, runProgram } from './program.js'

createProgram('wrenlane-entry <settings>', 'Runs an entry box that schedules requests on engines; <settings> is a TOML file.')
  .action((path: string) => runProgram(async () => {
    const settings = readSettings<EntrySettings>(path, entryFields)
    const { log, sink } = openProgramLog(settings.id)
    const metrics = new Metrics(settings.statsd, settings.id)
    const box = new EntryBox(settings, { log, metrics, secret: readSecret(settings.secretFile) })
    await box.start()
    log.info('ready', { url: `http://${settings.listen.host}:${box.port}` })
    handleSignals(async () => {
      const cutRequests = await box.stop()
      await sink.flush()
      return cutRequests === 0 ? 0 : 1
    }, () => box.inFlight, () => box.halt())
  }))
  .parse(process.argv)
