#!/usr/bin/env node
/** `wrenlane-keeper`: a replica of the durable state (configuration, leases and claims). */
import { keeperFields } from '../config/index.js'
import type { KeeperSettings } from '../config/index.js'
import { Metrics, openProgramLog } from '../runtime/index.js'
import { KeeperBox } from '../tasks/index.js'
import { createProgram, exitWithError, failureExitCode, handleSignals, readSecret, readSettings, runProgram } from './program.js'

createProgram('wrenlane-keeper <settings>', 'Runs a replica of the durable state; <settings> is a TOML file.')
  .action((path: string) => runProgram(async () => {
    const settings = readSettings<KeeperSettings>(path, keeperFields)
    const { log, sink } = openProgramLog(settings.id)
    const metrics = new Metrics(settings.statsd, settings.id)
    const noteFatal = (error: Error): void => exitWithError(failureExitCode, `disk failure: ${error.message}`)
    const box = new KeeperBox(settings, { log, metrics, secret: readSecret(settings.secretFile), noteFatal })
    await box.start()
    log.info('ready', { control: `${settings.control.host}:${box.port}` })
    handleSignals(async () => {
      await box.stop()
      await sink.flush()
      return 0
    }, () => 0)
  }))
  .parse(process.argv)
