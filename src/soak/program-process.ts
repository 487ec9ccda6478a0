/** Runs one program of the product as a child process. Signals are only sent to processes started here, by their ids. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'

/** Maximum number of log lines kept. */
const maxLines = 4000
/** Time within which a process must have a handler of SIGHUP, and the polling interval, ms. */
const handlerTimeoutMs = 10_000
const handlerPollMs = 2

/** How a process ended; `afterMs`: time since its start. */
export interface ProcessExit {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
  readonly afterMs: number
}

export class ProgramProcess {
  /** Newest lines of stdout and stderr. */
  readonly lines: string[] = []
  #program: string
  #args: readonly string[]
  #child: ChildProcess | null = null
  #isExitExpected = false
  #onUnexpectedExit: (exit: ProcessExit) => void

  /** `onUnexpectedExit` is called for each exit that was not requested through this class. */
  constructor (program: string, args: readonly string[], onUnexpectedExit: (exit: ProcessExit) => void) {
    this.#program = program
    this.#args = args
    this.#onUnexpectedExit = onUnexpectedExit
  }

  /** Null if it isn't running. */
  get pid (): number | null { return this.#child?.pid ?? null }

  get isRunning (): boolean { return this.#child !== null }

  /** Starts the process; does nothing if it is running. */
  start (): void {
    if (this.#child !== null) return
    this.#isExitExpected = false
    const startedAt = performance.now()
    const child = spawn(process.execPath, [this.#program, ...this.#args], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    for (const stream of [child.stdout, child.stderr]) stream?.on('data', (chunk: Buffer) => this.#appendLines(chunk))
    child.once('exit', (code, signal) => {
      if (this.#child === child) this.#child = null
      if (!this.#isExitExpected) this.#onUnexpectedExit({ code, signal, afterMs: performance.now() - startedAt })
    })
  }

  /** Sends a signal; after SIGTERM or SIGKILL the exit counts as expected. */
  sendSignal (name: NodeJS.Signals): void {
    if (name === 'SIGTERM' || name === 'SIGKILL') this.#isExitExpected = true
    this.#child?.kill(name)
  }

  /**
   * Sends SIGHUP as soon as the process has a handler of it: while Node itself starts, which takes most of a second on a
   * busy machine, no program can have one. Resolves with false if there is none in time.
   */
  async reload (): Promise<boolean> {
    const until = performance.now() + handlerTimeoutMs
    while (this.#child !== null && !hasHangupHandler(this.#child.pid)) {
      if (performance.now() > until) return false
      await sleep(handlerPollMs)
    }
    this.sendSignal('SIGHUP')
    return true
  }

  /** Resolves once the process has exited, at once if it isn't running, with its exit code. */
  async waitForExit (): Promise<{ readonly code: number | null }> {
    const child = this.#child
    if (child === null) return { code: null }
    return await new Promise(resolve => child.once('exit', code => resolve({ code })))
  }

  /** Sends SIGKILL; resolves once the process has exited. */
  async kill (): Promise<void> {
    const exited = this.waitForExit()
    this.sendSignal('SIGKILL')
    await exited
  }

  #appendLines (chunk: Buffer): void {
    this.lines.push(...chunk.toString().split('\n').filter(line => line !== ''))
    this.lines.splice(0, Math.max(0, this.lines.length - maxLines))
  }
}

// The lowest bit of the caught signals is that of SIGHUP.
function hasHangupHandler (pid: number | undefined): boolean {
  try {
    const [, caught] = /^SigCgt:\s*([0-9a-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
    return (Number.parseInt(caught?.slice(-1) ?? '0', 16) & 1) === 1
  } catch {
    // It has just ended.
    return false
  }
}
