/** Start-up code of gateways and registries: settings that are reloaded at run time, logs, metrics, signals. */
import { handleHangup } from './early-signals.js'
import { unwatchFile, watchFile } from 'node:fs'
import { formatMistake, gatewayFields, registryFields } from '../config/index.js'
import type { FieldTable, GatewaySettings, RegistrySettings, RouteBoxSettings } from '../config/index.js'
import { GatewayBox, createIntake as createGatewayIntake } from '../gateway/index.js'
import type { Connector } from '../gateway/index.js'
import type { Dialect } from '../protocol/index.js'
import { RegistryBox, createIntake as createRegistryIntake } from '../registry/index.js'
import { Metrics, MetricsServer, openProgramLog } from '../runtime/index.js'
import type { ClientIntake, EventLog, IntakeTools } from '../runtime/index.js'
import { exitWithError, handleSignals, readSecret, readSettings, reloadSettings, runProgram, usageExitCode } from './program.js'

/** Interval at which the settings file is polled, as it may change without a SIGHUP, ms. */
const settingsPollMs = 1000

interface ProgramContext<Settings> {
  readonly settings: Settings
  readonly log: EventLog
  readonly metrics: Metrics
  readonly intake: ClientIntake
  readonly secret: string | null
  readonly flush: () => Promise<void>
}

/** Runs a gateway with the given dialect and settings file until a signal stops it. `connect`: opens its connections to endpoints. */
export function runGateway (dialect: Dialect, path: string, connect?: Connector): void {
  void runProgram(async () => {
    const context = await createContext<GatewaySettings>(path, gatewayFields, createGatewayIntake)
    const box = new GatewayBox(context.settings, { ...context, dialect, connect })
    // Handled before the start is complete, as the box may have requests by then.
    const started = box.start()
    handleSignals(async () => {
      await started
      const cutRequests = await box.stop()
      await context.flush()
      return cutRequests === 0 ? 0 : 1
    }, () => box.inFlight, () => box.halt())
    await started
    followSettings<GatewaySettings>(path, gatewayFields, context.log, settings => box.setSeeds(settings.seeds))
  })
}

/** Runs a registry with the given dialect and settings file until a signal stops it. */
export function runRegistry (dialect: Dialect, path: string): void {
  void runProgram(async () => {
    const context = await createContext<RegistrySettings>(path, registryFields, createRegistryIntake)
    const box = new RegistryBox(context.settings, { ...context, dialect })
    // Handled before the start is complete, as the box may have calls by then.
    handleSignals(async () => {
      // Nobody has called it before it listens, and its disk may hold up its start for long.
      if (!box.isListening) await context.flush()
      if (!box.isListening) return 0
      const unanswered = await box.stop()
      await context.flush()
      return unanswered === 0 ? 0 : 1
    }, () => box.inFlight, () => box.halt())
    await box.start()
    followSettings<RegistrySettings>(path, registryFields, context.log, settings => box.setSeeds(settings.seeds))
  })
}

async function createContext<Settings extends RouteBoxSettings> (path: string, fields: FieldTable, createIntake: (settings: Settings, tools: IntakeTools) => ClientIntake): Promise<ProgramContext<Settings>> {
  const settings = readSettings<Settings>(path, fields)
  const { log, sink } = openProgramLog(settings.id, settings.logLinesPerSecond)
  const metrics = new Metrics(settings.statsd, settings.id)
  const intake = createIntake(settings, { log, metrics })
  if (settings.metricsPort !== 0) await new MetricsServer(metrics, intake).listen(settings.host, settings.metricsPort)
  const secret = settings.secretFile === '' ? null : readSecret(settings.secretFile)
  if (secret === null && !settings.openLinks) exitWithError(usageExitCode, 'links require a secretFile; set openLinks = true only on a network that no one else can reach')
  return { settings, log, metrics, intake, secret, flush: () => sink.flush() }
}

// Reloads the settings on SIGHUP and when the file changes; an invalid or unreadable file is logged and the current settings stay in force.
function followSettings<Settings extends RouteBoxSettings> (path: string, fields: FieldTable, log: EventLog, applySettings: (settings: Settings) => void): void {
  const reload = (reason: string): void => {
    const parsed = reloadSettings(path, fields)
    if (parsed.ok) {
      log.info('settings-read', { why: reason, seeds: (parsed.value as Settings).seeds.join(',') })
      return applySettings(parsed.value as Settings)
    }
    for (const mistake of parsed.mistakes) log.error('settings-refused', { why: reason, mistake: formatMistake(path, mistake) })
  }
  handleHangup(() => reload('signal'))
  watchFile(path, { interval: settingsPollMs, persistent: false }, (now, before) => {
    if (now.mtimeMs !== before.mtimeMs || now.size !== before.size) reload('change')
  })
  process.on('exit', () => unwatchFile(path))
}
