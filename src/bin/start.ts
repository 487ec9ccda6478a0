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

const usageExit = 2

/** A CommonJS module as a function of what it may name. */
type Program = (exports: object, require: NodeJS.Require, module: object, file: string, folder: string) => void

function readCompiled (path: string): Buffer | undefined {
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
  const program = script.runInThisContext() as Program
  program(module.exports, createRequire(file), module, file, dirname(file))
}

function start (words: readonly string[]): void {
  const [first, ms, ...rest] = words
  const isCompiling = first === '--compile'
  const [program, ...others] = isCompiling ? rest : words
  if (program === undefined || (isCompiling && !(Number(ms) > 0))) {
    process.stderr.write('error: start [--compile MS] PROGRAM [ARGUMENTS]\n')
    process.exit(usageExit)
  }
  const file = resolve(program)
  const compiled = `${file}.compiled`
  process.argv = [process.argv[0], file, ...others]
  const script = loadScript(file, isCompiling ? undefined : readCompiled(compiled))
  if (isCompiling) {
    setTimeout(() => {
      writeFileSync(compiled, script.createCachedData())
      process.exit(0)
    }, Number(ms))
  }
  runScript(script, file)
}

start(process.argv.slice(2))
