/**
 * A small deployment of gateways and registries as processes on loopback addresses, started with the commands of
 * deploy/system.toml and with settings filled from its templates. The figures are those of the deployment llanta-red.
 */
import { spawn } from 'node:child_process'
import { existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { fillTemplate } from './template-2.mjs'

const root = fileURLToPath(new URL('../', import.meta.url))

/** Ports, alike on all machines. */
export const ports = { front: 8227, ready: 8220, control: 8229, range: [7340, 7355] }
const metricsPort = 9464

/** Bounds of the deployment llanta-red. */
export const bounds = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  downgradeMs: 250,
  skewMaxMs: 5000,
  revokeStrict: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryExtra: 56,
  recoverS: 12,
  iterationMs: 120,
  retryAfterS: 10
}
export const heartbeatMs = 1200
export const zones = ['sala-norte', 'sala-centro', 'sala-sur']
const contracts = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants']
const classes = {
  edge: { role: 'gateway', serves: ['edge'], limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 } },
  core: { role: 'registry', serves: ['control_plane'], limits: { cpuShare: 0.81, cores: 1, memoryMb: 346, maxFds: 4096, linkMbps: 1000, diskMb: 128 } }
}

/** Reads `run` and `template` of a role from the deploy file. */
function readRole (role) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  const section = text.split(/^\[/m).find(one => one.startsWith(`roles.${role}]`))
  const read = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(section)[1]
  return { run: read('run').split(' '), template: readFileSync(join(root, read('template')), 'utf8') }
}

/** Thrown where a case can't run on this machine. */
export class CannotRun extends Error {}

export class Deployment {
  folder = mkdtempSync(join(tmpdir(), 'wrenlane-review-'))
  machines = []
  /** Called with each process that ended without being told to. */
  noteUnexpectedEnd = () => {}
  #network
  #count = { edge: 0, core: 0 }
  #contracts

  constructor (network, extraContracts = []) {
    this.#network = network
    this.#contracts = [...contracts, ...extraContracts]
  }

  /** A deployment on a loopback network on which the ports are free. */
  static async create (extraContracts = []) {
    if (!existsSync(join(root, 'target/gateway.cjs'))) throw new CannotRun('target/gateway.cjs is missing: run the build of the deploy file')
    for (let i = 0; i < 20; i++) {
      const network = 20 + (process.pid + i * 7) % 100
      const isFree = await Promise.all([ports.front, ports.ready, ports.control, ports.range[0], ports.range[1], metricsPort].map(port => mayListen(`127.${network}.1.1`, port)))
      if (isFree.every(Boolean)) return new Deployment(network, extraContracts)
    }
    throw new CannotRun('no loopback network with free ports was found')
  }

  /** An address of a part of the network: 1 core, 2 edge, 3 and more are free for stand-ins. */
  address (part, i) { return `127.${this.#network}.${part}.${i}` }

  list (machineClass) { return this.machines.filter(one => one.class === machineClass && one.isPresent) }

  /** Writes the settings of a new machine of a class; `seeds`: `control` addresses. */
  add (machineClass, zone, { seeds, bootstrap = false }) {
    const number = this.#count[machineClass] += 1
    const ip = this.address(machineClass === 'core' ? 1 : 2, number)
    const machine = { name: `${machineClass}-${zone}-${number}`, class: machineClass, zone, ip, isPresent: true, child: null, isEndExpected: true, lines: [], seeds, bootstrap }
    machine.dataDir = machineClass === 'core' ? join(this.folder, machine.name) : null
    if (machine.dataDir !== null) mkdirSync(machine.dataDir)
    machine.settings = join(this.folder, `${machine.name}.toml`)
    this.machines.push(machine)
    this.write(machine)
    return machine
  }

  /** Fills the template of a machine's settings. */
  write (machine) {
    const { role, serves, limits } = classes[machine.class]
    const fields = {
      nodeName: machine.name,
      role,
      machineClass: machine.class,
      serves,
      ip: machine.ip,
      zone: machine.zone,
      region: 'bogota',
      zones: Object.fromEntries(zones.map(one => [one, 'bogota'])),
      listen: machine.class === 'edge' ? { front: `${machine.ip}:${ports.front}`, ready: `${machine.ip}:${ports.ready}` } : { control: `${machine.ip}:${ports.control}` },
      portRange: ports.range,
      seeds: machine.seeds,
      bootstrap: machine.bootstrap,
      faultCounted: machine.class === 'core',
      limits,
      dataDir: machine.dataDir,
      discovery: 'registration',
      entry: 'vip',
      heartbeatMs,
      contracts: this.#contracts,
      faultTolerance: { machines: 1, zones: 1, regions: 0 },
      bounds,
      configMode: 'highest'
    }
    writeFileSync(machine.settings, fillTemplate(readRole(role).template, fields))
  }

  /** Starts a machine's process. */
  start (machine) {
    const [program, ...args] = readRole(classes[machine.class].role).run
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, args, { cwd: root, env: { PATH, HOME, LANG, WRENLANE_BOOT: machine.settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    machine.child = child
    machine.isEndExpected = false
    for (const stream of [child.stdout, child.stderr]) stream.on('data', chunk => machine.lines.push(...chunk.toString().split('\n').filter(line => line !== '')))
    child.once('exit', (code, signal) => {
      if (machine.child === child) machine.child = null
      if (!machine.isEndExpected) this.noteUnexpectedEnd(machine, { code, signal })
    })
  }

  /** Sends a signal to a machine's process. */
  signal (machine, name) {
    if (name === 'SIGTERM' || name === 'SIGKILL') machine.isEndExpected = true
    machine.child?.kill(name)
  }

  /** Ends a machine's process and waits for it: SIGKILL follows SIGTERM after `graceS`. */
  async end (machine, name) {
    const { child } = machine
    if (child === null || child.exitCode !== null) return
    const ended = new Promise(resolve => child.once('exit', resolve))
    this.signal(machine, name)
    const timer = setTimeout(() => this.signal(machine, 'SIGKILL'), bounds.graceS * 1000)
    await ended
    clearTimeout(timer)
  }

  /** Ends everything and removes the files. */
  async stop () {
    for (const machine of this.machines) this.signal(machine, 'SIGCONT')
    await Promise.all(this.machines.map(machine => this.end(machine, 'SIGKILL')))
    rmSync(this.folder, { recursive: true, force: true, maxRetries: 3 })
  }
}

function mayListen (host, port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}
