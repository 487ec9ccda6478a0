/**
 * Runs a bundled program with a V8 code cache. On a small box, reading and
 * compiling the bundle takes longer than the rest of the start, and after a
 * power failure all boxes start at the same time.
 *
 *     start PROGRAM [ARGUMENTS]
 *     start --compile MS PROGRAM [ARGUMENTS]
 *
 * The second form runs the program for MS milliseconds, then writes the code
 * cache next to it and exits, so that the cache holds only the functions that a start needs.
 */
import './early-signals.js'
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, resolve } from 'node:path'
import { Script } from 'node:vm'

const usageExitCode = 2

/** The wrapper function of a CommonJS module. */
type ModuleFunction = (exports: object, require: NodeJS.Require, module: object, file: string, folder: string) => void

function readCodeCache (path: string): Buffer | undefined {
  try {
    return readFileSync(path)
  } catch {
    process.stderr.write(`cannot read code cache ${path}: compiling the program from source\n`)
    return undefined
  }
}

function loadScript (file: string, cachedData: Buffer | undefined): Script {
  const code = readFileSync(file, 'utf8')
  const script = new Script(`(function (exports, require, module, __filename, __dirname) { ${code}\n})`, { filename: file, cachedData })
  if (script.cachedDataRejected === true) process.stderr.write(`${file}: code cache rejected, from another version or damaged: compiling from source\n`)
  return script
}

function runScript (script: Script, file: string): void {
  const module = { exports: {} }
  const runModule = script.runInThisContext() as ModuleFunction
  runModule(module.exports, createRequire(file), module, file, dirname(file))
}

function start (args: readonly string[]): void {
  const [firstArg, compileMs, ...rest] = args
  const isCompiling = firstArg === '--compile'
  const [program, ...programArgs] = isCompiling ? rest : args
  if (program === undefined || (isCompiling && !(Number(compileMs) > 0))) {
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
    }, Number(compileMs))
  }
  runScript(script, file)
}

start(process.argv.slice(2))
