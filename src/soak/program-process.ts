/** One program of the product as a process of its own. Only processes started here are ever signalled, by their ids. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'

/** Lines of its log that are kept. */
const maxLines = 4000

export class ProgramProcess {
  /** The newest lines of its log. */
  readonly lines: string[] = []
  #program: string
  #settings: string
  #child: ChildProcess | null = null
  #isExitExpected = false
  #onUnexpectedExit: (code: number | null) => void

  /** `noteEnd` is told of each end that nobody asked for. */
  constructor (program: string, settings: string, onUnexpectedExit: (code: number | null) => void) {
    this.#program = program
    this.#settings = settings
    this.#onUnexpectedExit = onUnexpectedExit
  }

  get isRunning (): boolean { return this.#child !== null }

  /** Starts the process; does nothing where it runs. */
  start (): void {
    if (this.#child !== null) return
    this.#isExitExpected = false
    const child = spawn(process.execPath, [this.#program, this.#settings], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    for (const stream of [child.stdout, child.stderr]) stream?.on('data', (chunk: Buffer) => this.#appendLines(chunk))
    child.once('exit', code => {
      if (this.#child === child) this.#child = null
      if (!this.#isExitExpected) this.#onUnexpectedExit(code)
    })
  }

  /** Sends a signal; one that ends the process is taken as wanted. */
  sendSignal (name: NodeJS.Signals): void {
    if (name === 'SIGTERM' || name === 'SIGKILL') this.#isExitExpected = true
    this.#child?.kill(name)
  }

  /** Ends the process at once; resolves when it is gone. */
  async kill (): Promise<void> {
    const child = this.#child
    if (child === null) return
    const exited = new Promise(resolve => child.once('exit', resolve))
    this.sendSignal('SIGKILL')
    await exited
  }

  #appendLines (chunk: Buffer): void {
    this.lines.push(...chunk.toString().split('\n').filter(line => line !== ''))
    this.lines.splice(0, Math.max(0, this.lines.length - maxLines))
  }
}
