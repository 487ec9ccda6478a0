import assert from 'node:assert/strict'
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'

/** What each package may import. Nothing else, and nothing but a package's index. */
const allowed: Readonly<Record<string, readonly string[]>> = {
  runtime: [],
  core: [],
  coordination: ['runtime'],
  config: ['core', 'coordination'],
  protocol: ['runtime', 'core', 'coordination'],
  standin: ['config', 'protocol'],
  tasks: ['runtime', 'core', 'coordination', 'config', 'protocol'],
  gateway: ['runtime', 'core', 'coordination', 'config', 'protocol'],
  registry: ['runtime', 'core', 'coordination', 'config', 'protocol'],
  measure: ['runtime', 'core', 'standin'],
  proof: ['runtime', 'core', 'coordination'],
  soak: ['runtime', 'standin'],
  capacity: ['runtime', 'core', 'coordination', 'protocol', 'tasks', 'standin'],
  report: ['core', 'config', 'measure']
}

/** Proofs look inside the log to build a disk that forgets. */
const exceptions = new Set(['proof -> coordination/log/entry-list.js'])

function listFiles (folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' }).filter(name => name.endsWith('.ts')).map(name => join(folder, name))
}

for (const [name, others] of Object.entries(allowed)) {
  test(`${name} imports ${others.length === 0 ? 'no other package' : others.join(', ')}, by their index`, () => {
    for (const file of listFiles(join('src', name))) {
      for (const [, path] of readFileSync(file, 'utf8').matchAll(/from '(\.[^']+)'/g)) {
        const target = join(file, '..', path).replace(/^src\//, '')
        const [to, ...rest] = target.split('/')
        if (to === name || exceptions.has(`${name} -> ${target}`)) continue
        assert.ok(others.includes(to), `${file} imports ${target}`)
        assert.deepEqual(rest, ['index.js'], `${file} imports ${target}`)
      }
    }
  })
}

test('the core has no clock, socket or randomness of its own', () => {
  for (const folder of ['src/core', 'src/coordination/log', 'src/coordination/claims', 'src/coordination/ledger', 'src/coordination/leases', 'src/coordination/usage', 'src/coordination/members', 'src/coordination/spread']) {
    for (const file of listFiles(folder)) {
      if (/replica\.ts$|log-store\.ts$|record-file\.ts$/.test(file)) continue
      assert.doesNotMatch(readFileSync(file, 'utf8'), /Date\.now|performance\.|Math\.random|from 'node:(net|http|dgram|fs|timers)/, file)
    }
  }
})

/** The files that a file imports, by their paths in `src`; what is imported for its types alone counts too. */
function listImports (file: string): string[] {
  const paths = [...readFileSync(file, 'utf8').matchAll(/from '(\.[^']+)\.js'/g)]
  return paths.map(([, path]) => `${join(file, '..', path)}.ts`)
}

/** A way along imports from a file back to itself; null where there is none. */
function findCircle (file: string, way: readonly string[], done: Set<string>): string[] | null {
  if (way.includes(file)) return [...way.slice(way.indexOf(file)), file]
  if (done.has(file)) return null
  for (const next of listImports(file)) {
    const circle = findCircle(next, [...way, file], done)
    if (circle !== null) return circle
  }
  done.add(file)
  return null
}

test('no file imports itself by way of others', () => {
  const done = new Set<string>()
  for (const file of listFiles('src')) assert.equal(findCircle(file, [], done)?.join(' -> ') ?? null, null)
})
