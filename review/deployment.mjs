// Starts gateways and registries as separate processes, with the commands and templates of deploy/system.toml.
import { spawn } from 'node:child_process'
import { mkdtempSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, connect } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { fillTemplate } from './template.mjs'

const root = resolve(dirname(fileURLToPath(import.meta.url)), '..')

/** The bounds of llanta-red (SYSTEM.md). */
const bounds = { seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, downgradeMs: 250, skewMaxMs: 5000, revokeStrict: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryExtra: 56, recoverS: 12, iterationMs: 120, retryAfterS: 10 }
const contracts = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants']
const ports = { front: 8227, ready: 8220, control: 8229, first: 7340, last: 7355 }

function readRole (name) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  const section = text.slice(text.indexOf(`[roles.${name}]`)).split(/\n\[/)[0]
  const find = key => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)?.[1] ?? ''
  return { run: find('run').split(' '), template: readFileSync(join(root, find('template')), 'utf8') }
}

function isFree (host, port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** A /24 of loopback addresses of which nobody uses these ports. */
async function findNetwork () {
  for (let i = 0; i < 50; i++) {
    const network = `127.${100 + Math.floor(Math.random() * 100)}.${1 + Math.floor(Math.random() * 250)}`
    const free = await Promise.all([1, 2, 11, 12, 13, 21].flatMap(one => Object.values(ports).map(port => isFree(`${network}.${one}`, port))))
    if (free.every(Boolean)) return network
  }
  throw new Error('no free addresses')
}

export class Deployment {
  /** Processes by name. */
  boxes = new Map()
  /** Ends of processes that nobody asked for. */
  ends = []
  #folder = mkdtempSync(join(tmpdir(), 'wrenlane-review-'))
  #note

  constructor (note) { this.#note = note }

  /** Starts `gateways` and `registries` (three by default) and waits until all are up. */
  async start ({ gateways = 2, registries = 3 } = {}) {
    this.network = await findNetwork()
    const zones = ['sala-norte', 'sala-centro', 'sala-sur']
    this.registries = Array.from({ length: registries }, (_, i) => ({ name: `core-${i + 1}`, role: 'registry', ip: `${this.network}.${11 + i}`, zone: zones[i % 3] }))
    this.gateways = Array.from({ length: gateways }, (_, i) => ({ name: `edge-${i + 1}`, role: 'gateway', ip: `${this.network}.${1 + i}`, zone: zones[i % 3] }))
    for (const box of [...this.registries, ...this.gateways]) this.startBox(box, true)
    await this.#waitFor(async () => (await Promise.all([...this.registries.map(({ ip }) => isOpen(ip, ports.control)), ...this.gateways.map(({ ip }) => isOpen(ip, ports.front))])).every(Boolean), 20_000, 'the processes to listen')
  }

  startBox (box, isFirst = false) {
    const { run, template } = readRole(box.role)
    const folder = join(this.#folder, box.name)
    mkdirSync(join(folder, 'data'), { recursive: true })
    const isEdge = box.role === 'gateway'
    const fields = {
      nodeName: box.name,
      role: box.role,
      machineClass: isEdge ? 'edge' : 'core',
      serves: [isEdge ? 'edge' : 'control_plane'],
      ip: box.ip,
      zone: box.zone,
      region: 'bogota',
      zones: { 'sala-norte': 'bogota', 'sala-centro': 'bogota', 'sala-sur': 'bogota' },
      listen: isEdge ? { front: `${box.ip}:${ports.front}`, ready: `${box.ip}:${ports.ready}` } : { control: `${box.ip}:${ports.control}` },
      portRange: [ports.first, ports.last],
      seeds: this.registries.slice(0, 3).map(({ ip }) => `${ip}:${ports.control}`),
      bootstrap: isFirst,
      faultCounted: !isEdge,
      limits: { cpuShare: isEdge ? 0.675 : 0.81, cores: 1, memoryMb: isEdge ? 350 : 346, maxFds: 4100, linkMbps: 1000, diskMb: isEdge ? 0 : 128 },
      dataDir: isEdge ? null : join(folder, 'data'),
      discovery: 'registration',
      entry: 'vip',
      heartbeatMs: 1200,
      contracts,
      faultTolerance: { machines: 1, zones: 1, regions: 0 },
      bounds,
      configMode: 'highest'
    }
    const settings = join(folder, 'local.toml')
    writeFileSync(settings, fillTemplate(template, fields))
    const child = spawn(run[0] === 'node' ? process.execPath : run[0], run.slice(1), { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, WRENLANE_BOOT: settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    const known = this.boxes.get(box.name)
    const state = { box, child, isStopping: false, output: known?.output ?? [] }
    this.boxes.set(box.name, state)
    for (const stream of [child.stdout, child.stderr]) stream.on('data', data => { state.output.push(data.toString()) })
    state.exited = new Promise(resolve => child.once('exit', (code, signal) => {
      state.isGone = true
      if (!state.isStopping) {
        this.ends.push({ name: box.name, code, signal })
        const text = state.output.join('')
        const reason = /^(?:\w*Error\b|RangeError|TypeError|FATAL).*$/m.exec(text.slice(-8000))?.[0] ?? ''
        this.#note(`process ${box.name} ended by itself: code ${code}, signal ${signal}: ${reason}`)
        // The platform restarts a process that ends (DEPLOY.md, Ends).
        setTimeout(() => { if (!this.isStopped) this.startBox(box) }, 500)
      }
      resolve()
    }))
    return state
  }

  front (i) { return { host: this.gateways[i].ip, port: ports.front } }
  ready (i) { return { host: this.gateways[i].ip, port: ports.ready } }
  control (i) { return { host: this.registries[i].ip, port: ports.control } }

  /** Calls a registry; resolves with status and body, status 0 without an answer. */
  async call (i, method, path, body) {
    const payload = body === undefined ? undefined : Buffer.isBuffer(body) ? body : Buffer.from(typeof body === 'string' ? body : JSON.stringify(body))
    return await callOnce({ ...this.control(i), method, path, headers: { 'Content-Type': 'application/json' }, body: payload, timeoutMs: 1000 })
  }

  /** Sends a configuration as the operator does: to the next registry until one answers clearly. */
  async putConfig (config) {
    for (let i = 0; i < 30; i++) {
      const { status } = await this.call(i % this.registries.length, 'PUT', '/api/config', config)
      if (status !== 0 && status !== 503 && status !== 500) return status
      await sleep(300)
    }
    throw new Error('the configuration was not acknowledged')
  }

  async waitReady () {
    await this.#waitFor(async () => (await Promise.all(this.gateways.map(async (_, i) => (await callOnce({ ...this.ready(i), method: 'GET', path: '/api/readyz', timeoutMs: 1000 })).status === 200))).every(Boolean), 20_000, 'the gateways to be ready')
  }

  async #waitFor (check, ms, what) {
    const until = Date.now() + ms
    while (!await check()) {
      if (Date.now() > until) throw new Error(`timed out waiting for ${what}`)
      await sleep(100)
    }
  }

  async stop () {
    this.isStopped = true
    for (const state of this.boxes.values()) {
      state.isStopping = true
      if (!state.isGone) state.child.kill('SIGKILL')
    }
    await Promise.all([...this.boxes.values()].map(({ exited }) => exited))
    if (process.env.KEEP_LOGS) for (const [name, { output }] of this.boxes) writeFileSync(join(process.env.KEEP_LOGS, `${name}.log`), output.join(''))
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

function isOpen (host, port) {
  return new Promise(resolve => {
    const socket = connect({ host, port })
    socket.once('connect', () => { socket.destroy(); resolve(true) })
    socket.once('error', () => resolve(false))
  })
}

/** One HTTP call; never rejects. `isWhole` is false where the connection ended before the whole answer. */
export function callOnce ({ host, port, method, path, headers = {}, body, agent = false, timeoutMs = 20_000 }) {
  return new Promise(resolve => {
    const startedAt = Date.now()
    let answer = { status: 0, headers: {}, body: Buffer.alloc(0), isWhole: false, error: 'none' }
    let isDone = false
    const done = () => {
      if (isDone) return
      isDone = true
      clearTimeout(timer)
      resolve({ ...answer, ms: Date.now() - startedAt })
    }
    const request = httpRequest({ host, port, method, path, agent, headers: { ...headers, ...(body === undefined ? {} : { 'Content-Length': body.length }) } }, response => {
      const chunks = []
      answer = { status: response.statusCode, headers: response.headers, body: Buffer.alloc(0), isWhole: false, error: 'answer cut' }
      response.on('data', chunk => { chunks.push(chunk); answer.body = Buffer.concat(chunks) })
      response.on('error', error => { answer.error = error.code ?? error.message })
      response.on('end', () => { answer.isWhole = response.complete; if (response.complete) answer.error = ''; done() })
      response.on('close', done)
    })
    const timer = setTimeout(() => { answer.error = 'time-out'; request.destroy(); done() }, timeoutMs)
    request.on('error', error => { answer.error = error.code ?? error.message; done() })
    request.end(body)
  })
}
