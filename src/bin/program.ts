/** Shared by all programs: arguments, settings files, signals, exit codes. */
import { readFileSync } from 'node:fs'
import sade from 'sade'
import type { Sade } from 'sade'
import { formatMistake, parseToml } from '../config/index.js'
import type { FieldTable } from '../config/index.js'

/** Exit code for invalid arguments or input files. */
export const usageExitCode = 2
/** Exit code for failures at run time. */
export const failureExitCode = 1

const minSecretLength = 16

export function readVersion (): string {
  const url = new URL('../../../package.json', import.meta.url)
  return (JSON.parse(readFileSync(url, 'utf8')) as { version: string }).version
}

/** Creates a program with a single command and no subcommands. */
export function createProgram (name: string, description: string): Sade {
  return sade(name, true).version(readVersion()).describe(description)
}

/** Prints one line to stderr and exits with `code`. */
export function exitWithError (code: number, message: string): never {
  process.stderr.write(`error: ${message}\n`)
  process.exit(code)
}

/** Reads a file given by the user; exits with an error message if it cannot be read. */
export function readUserFile (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    return exitWithError(usageExitCode, `${path}: ${describeReadError(error as NodeJS.ErrnoException)}`)
  }
}

function describeReadError ({ code, message }: NodeJS.ErrnoException): string { return code === 'ENOENT' ? 'no such file' : message }

/** Reads a settings file again while a program runs; a file that can't be read, as it is being replaced, is a mistake like any other. */
export function reloadSettings (path: string, fields: FieldTable): ReturnType<typeof parseToml> {
  let text
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return { ok: false, mistakes: [{ key: '', line: null, found: describeReadError(error as NodeJS.ErrnoException), allowed: 'a readable file' }] }
  }
  return parseToml(text, fields)
}

/** Reads a settings file; if it is invalid, prints every error and exits. */
export function readSettings<T> (path: string, fields: FieldTable): T {
  const parsed = parseToml(readUserFile(path), fields)
  if (parsed.ok) return parsed.value as T
  for (const mistake of parsed.mistakes) process.stderr.write(`${formatMistake(path, mistake)}\n`)
  return exitWithError(usageExitCode, `${path}: ${parsed.mistakes.length} error${parsed.mistakes.length === 1 ? '' : 's'}`)
}

/** Reads the shared secret, without surrounding white space; exits if it is too short. */
export function readSecret (path: string): string {
  const secret = readUserFile(path).trim()
  if (secret.length < minSecretLength) exitWithError(usageExitCode, `${path}: the secret must have at least ${minSecretLength} characters`)
  return secret
}

/** Runs `start`; an error, such as a port in use, is printed as one line without a stack trace. */
export async function runProgram (start: () => Promise<void>): Promise<void> {
  try {
    await start()
  } catch (error) {
    const { code, port, message } = error as NodeJS.ErrnoException & { port?: number }
    if (code === 'EADDRINUSE') exitWithError(usageExitCode, `port ${port ?? ''} is already in use`)
    if (code === 'EACCES') exitWithError(usageExitCode, message)
    exitWithError(failureExitCode, message)
  }
}

/**
 * On the first SIGTERM or SIGINT calls `stop` and exits with its code. On the second calls `halt`, with which `stop`
 * ends soon; without it exits immediately, as on the third.
 */
export function handleSignals (stop: () => Promise<number>, countInFlight: () => number, halt?: () => void): void {
  let signals = 0
  const handleSignal = (): void => {
    signals += 1
    if (signals === 2 && halt !== undefined) return halt()
    if (signals > 1) exitWithError(failureExitCode, `stopped immediately; ${countInFlight()} requests in flight were aborted`)
    stop().then(code => process.exit(code), (error: Error) => exitWithError(failureExitCode, error.message))
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
}
