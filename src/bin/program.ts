/** What the programs share: arguments, settings files, signals, exit codes. */
import { readFileSync } from 'node:fs'
import sade from 'sade'
import type { Sade } from 'sade'
import { formatMistake, parseToml } from '../config/index.js'
import type { FieldTable } from '../config/index.js'

/** Exit code for what the caller of the program got wrong. */
export const usageExitCode = 2
/** Exit code for what went wrong in running. */
export const failureExitCode = 1

const minSecretLength = 16

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
export function exitWithError (code: number, text: string): never {
  process.stderr.write(`error: ${text}\n`)
  process.exit(code)
}

/** Reads a file that the user named. */
export function readUserFile (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    return exitWithError(usageExitCode, `${path}: ${(error as NodeJS.ErrnoException).code === 'ENOENT' ? 'no such file' : (error as Error).message}`)
  }
}

/** Reads a settings file; prints every mistake and ends where there are any. */
export function readSettings<T> (path: string, fields: FieldTable): T {
  const parsed = parseToml(readUserFile(path), fields)
  if (parsed.ok) return parsed.value as T
  for (const mistake of parsed.mistakes) process.stderr.write(`${formatMistake(path, mistake)}\n`)
  return exitWithError(usageExitCode, `${path}: ${parsed.mistakes.length} mistake${parsed.mistakes.length === 1 ? '' : 's'}`)
}

/** Reads the shared secret. */
export function readSecret (path: string): string {
  const secret = readUserFile(path).trim()
  if (secret.length < minSecretLength) exitWithError(usageExitCode, `${path}: a secret is at least ${minSecretLength} characters long`)
  return secret
}

/** Runs `start`; a port in use and the like are told in one line. */
export async function runProgram (start: () => Promise<void>): Promise<void> {
  try {
    await start()
  } catch (error) {
    const { code, port, message } = error as NodeJS.ErrnoException & { port?: number }
    if (code === 'EADDRINUSE') exitWithError(usageExitCode, `port ${port ?? ''} is in use`)
    if (code === 'EACCES') exitWithError(usageExitCode, message)
    exitWithError(failureExitCode, message)
  }
}

/** Calls `stop` at the first signal to end, and ends at once at the second. */
export function handleSignals (stop: () => Promise<number>, countInFlight: () => number): void {
  let isStopping = false
  const handleSignal = (): void => {
    if (isStopping) exitWithError(failureExitCode, `stopped at once; ${countInFlight()} requests in flight were cut`)
    isStopping = true
    stop().then(code => process.exit(code), (error: Error) => exitWithError(failureExitCode, error.message))
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
}
