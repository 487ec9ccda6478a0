#!/usr/bin/env node
/** `wrenlane-standin`: simulated engines and services, for tests and measurements. */
import { standinFields } from '../config/index.js'
import type { StandinSettings } from '../config/index.js'
import { openStandardLog } from '../runtime/index.js'
import { StandinEngine, StandinService } from '../standin/index.js'
import { createProgram, handleSignals, readSettings, runProgram } from './program.js'

createProgram('wrenlane-standin <settings>', 'Simulates engines and plain services; <settings> is a TOML file.')
  .action((path: string) => runProgram(async () => {
    const settings = readSettings<StandinSettings>(path, standinFields)
    const log = openStandardLog('standin')
    const engines = settings.engines.map(engine => new StandinEngine(engine))
    const services = settings.services.map(service => new StandinService(service))
    for (const server of [...engines, ...services]) {
      await server.listen()
      log.info('listening', { id: server.settings.id, port: server.port })
    }
    log.info('ready', { engines: engines.length, services: services.length })
    handleSignals(async () => {
      for (const one of [...engines, ...services]) one.close()
      return 0
    }, () => 0)
  }))
  .parse(process.argv)
