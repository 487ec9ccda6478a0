/**
 * Runs a bundled program from code that was compiled before. Reading and
 * compiling a bundle takes a small box longer than all else that it does before
 * it serves, and boxes that lost power start all at once.
 *
 *     start PROGRAM [ARGUMENTS]
 *     start --compile MS PROGRAM [ARGUMENTS]
 *
 * The second form runs the program for so many ms, then writes what the engine
 * compiled meanwhile beside it and ends: what a start needs is in it, and no more.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, resolve } from 'node:path'
import { Script } from 'node:vm'

const usageExitCode = 2

/** A CommonJS module as a function of what it may name. */
type ModuleFunction = (exports: object, require: NodeJS.Require, module: object, file: string, folder: string) => void

function readCodeCache (path: string): Buffer | undefined {
  try {
    return readFileSync(path)
  } catch {
    process.stderr.write(`${path} can't be read: the program is compiled anew\n`)
    return undefined
  }
}

function loadScript (file: string, cachedData: Buffer | undefined): Script {
  const code = readFileSync(file, 'utf8')
  const script = new Script(`(function (exports, require, module, __filename, __dirname) { ${code}\n})`, { filename: file, cachedData })
  if (script.cachedDataRejected === true) process.stderr.write(`${file}: its compiled code is of another version: it is compiled anew\n`)
  return script
}

function runScript (script: Script, file: string): void {
  const module = { exports: {} }
  const runModule = script.runInThisContext() as ModuleFunction
  runModule(module.exports, createRequire(file), module, file, dirname(file))
}

function start (args: readonly string[]): void {
  const [firstArg, ms, ...rest] = args
  const isCompiling = firstArg === '--compile'
  const [program, ...programArgs] = isCompiling ? rest : args
  if (program === undefined || (isCompiling && !(Number(ms) > 0))) {
    process.stderr.write('error: start [--compile MS] PROGRAM [ARGUMENTS]\n')
    process.exit(usageExitCode)
  }
  const file = resolve(program)
  const cachePath = `${file}.compiled`
  process.argv = [process.argv[0], file, ...programArgs]
  const script = loadScript(file, isCompiling ? undefined : readCodeCache(cachePath))
  if (isCompiling) {
    setTimeout(() => {
      writeFileSync(cachePath, script.createCachedData())
      process.exit(0)
    }, Number(ms))
  }
  runScript(script, file)
}

start(process.argv.slice(2))
