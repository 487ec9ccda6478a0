/** What the programs share: arguments, settings files, signals, exit codes. */
import { readFileSync } from 'node:fs'
import sade from 'sade'
import type { Sade } from 'sade'
import { formatMistake, parseToml } from '../config/index.js'
import type { FieldTable } from '../config/index.js'

/** Exit code for what the caller of the program got wrong. */
export const usageExit = 2
/** Exit code for what went wrong in running. */
export const failureExit = 1

const leastSecret = 16

/** The version in package.json. */
export function readVersion (): string {
  const url = new URL('../../../package.json', import.meta.url)
  return (JSON.parse(readFileSync(url, 'utf8')) as { version: string }).version
}

/** A program of one command that takes a settings file. */
export function createProgram (name: string, about: string): Sade {
  return sade(name, true).version(readVersion()).describe(about)
}

/** Ends with one line of error. */
export function endWith (code: number, text: string): never {
  process.stderr.write(`error: ${text}\n`)
  process.exit(code)
}

/** Reads a file that the user named. */
export function readNamed (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    return endWith(usageExit, `${path}: ${(error as NodeJS.ErrnoException).code === 'ENOENT' ? 'no such file' : (error as Error).message}`)
  }
}

/** Reads a settings file; prints every mistake and ends where there are any. */
export function readSettings<T> (path: string, fields: FieldTable): T {
  const parsed = parseToml(readNamed(path), fields)
  if (parsed.ok) return parsed.value as T
  for (const mistake of parsed.mistakes) process.stderr.write(`${formatMistake(path, mistake)}\n`)
  return endWith(usageExit, `${path}: ${parsed.mistakes.length} mistake${parsed.mistakes.length === 1 ? '' : 's'}`)
}

/** Reads the shared secret. */
export function readSecret (path: string): string {
  const secret = readNamed(path).trim()
  if (secret.length < leastSecret) endWith(usageExit, `${path}: a secret is at least ${leastSecret} characters long`)
  return secret
}

/** Runs `start`; a port in use and the like are told in one line. */
export async function runProgram (start: () => Promise<void>): Promise<void> {
  try {
    await start()
  } catch (error) {
    const { code, port, message } = error as NodeJS.ErrnoException & { port?: number }
    if (code === 'EADDRINUSE') endWith(usageExit, `port ${port ?? ''} is in use`)
    if (code === 'EACCES') endWith(usageExit, message)
    endWith(failureExit, message)
  }
}

/** Calls `stop` at the first signal to end, and ends at once at the second. */
export function handleSignals (stop: () => Promise<number>, countInFlight: () => number): void {
  let stopping = false
  const take = (): void => {
    if (stopping) endWith(failureExit, `stopped at once; ${countInFlight()} requests in flight were cut`)
    stopping = true
    stop().then(code => process.exit(code), (error: Error) => endWith(failureExit, error.message))
  }
  process.on('SIGTERM', take)
  process.on('SIGINT', take)
}
