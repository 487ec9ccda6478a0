import assert from 'node:assert/strict'
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { checkDocument, entryFields, formatMistake, keeperFields, parseIntent, parseToml } from '../src/config/index.js'
import { composePages } from '../src/report/index.js'

const tenMistakes = `id = "Entry One"
zone = 7
listen = { host = "localhost", port = 99999 }
control = { host = "127.0.0.1", port = "x" }
keepers = []
secretFile = "/s"
balancerLag = 10
drainMs = -1
maxBodyBytes = 1.5
enginesPerShard = 0
`

test('all ten mistakes of a file are reported with line, key, value found and values allowed', () => {
  const parsed = parseToml(tenMistakes, entryFields)
  assert.ok(!parsed.ok)
  const lines = parsed.mistakes.map(mistake => formatMistake('entry.toml', mistake))
  assert.equal(lines.length, 10, lines.join('\n'))
  const expected = [
    'entry.toml:1: id: found "Entry One"; allowed: a name of',
    'entry.toml:2: zone: found 7',
    'entry.toml:3: listen.host: found "localhost"; allowed: an IP address',
    'entry.toml:3: listen.port: found 99999; allowed: a whole number from 0 to 65535 (port)',
    'entry.toml:4: control.port: found "x"',
    'entry.toml:5: keepers: found []; allowed: a list of at least 1',
    'entry.toml:7: balancerLag: found an unknown key; allowed: did you mean "balancerLagMs"?',
    'entry.toml:8: drainMs: found -1',
    'entry.toml:9: maxBodyBytes: found 1.5',
    'entry.toml:10: enginesPerShard: found 0'
  ]
  for (const start of expected) assert.ok(lines.some(line => line.startsWith(start)), `${start}\n${lines.join('\n')}`)
})

const invalidFiles: { name: string, text: string, found: RegExp }[] = [
  { name: 'invalid TOML', text: 'id = \nzone', found: /allowed: a TOML file/ },
  { name: 'a missing key', text: 'zone = "a"', found: /id: found nothing; allowed: .*required/ },
  { name: 'an unknown table', text: 'id = "a"\n\n[nowhere]\nx = 1', found: /^f:3: nowhere: found an unknown key/ },
  { name: 'an unknown list of tables', text: 'id = "a"\n\n[[nowhere]]\nx = 1\n[[nowhere]]\nx = 2', found: /^f:3: nowhere: found an unknown key/ },
  { name: 'an unknown table with a nested one', text: 'id = "a"\n[nowhere.deep]\nx = 1', found: /^f:2: nowhere: found an unknown key/ },
  { name: 'an unknown key unlike any other', text: 'qqqqqqqqqqq = 1', found: /one of id, zone/ }
]

for (const { name, text, found } of invalidFiles) {
  test(`${name} is reported`, () => {
    const parsed = parseToml(text, keeperFields)
    assert.ok(!parsed.ok)
    assert.ok(parsed.mistakes.some(mistake => found.test(formatMistake('f', mistake))))
  })
}

const inconsistentIntents: { name: string, text: string, found: RegExp }[] = [
  { name: 'an engine of an unknown pool', text: '[engines.e]\npool = "p"\nzone = "z"\nhost = "10.0.0.1"\nport = 1\n', found: /engines\.e\.pool/ },
  { name: 'a workspace with an unknown class', text: `[workspaces.w]\nkeys = ["${'a'.repeat(64)}"]\ndefaultClass = "c"\n`, found: /defaultClass/ },
  { name: 'one key for two workspaces', text: ['v', 'w'].map(name => `[workspaces.${name}]\nkeys = ["${'a'.repeat(64)}"]\ndefaultClass = "c"\n`).join(''), found: /a key of workspace v/ },
  { name: 'a class that may wait above one that may not', text: '[classes.a]\npriority = 3\nfirstTokenMs = 100\n[classes.b]\npriority = 1\nfirstTokenMs = 100\nmayWait = true\n', found: /classes\.b\.priority/ }
]

for (const { name, text, found } of inconsistentIntents) {
  test(`${name} is found by the check of the whole document`, () => {
    const parsed = parseIntent(text)
    assert.ok(parsed.ok)
    assert.ok(checkDocument(parsed.value.items).some(mistake => found.test(formatMistake('f', mistake))))
  })
}

for (const user of ['campsites', 'tyres']) {
  test(`the sample settings of ${user} have no mistakes`, () => {
    const folder = join('config', user)
    for (const name of readdirSync(folder)) {
      const text = readFileSync(join(folder, name), 'utf8')
      if (name.startsWith('entry')) assert.deepEqual(parseToml(text, entryFields).ok, true, name)
      if (name.startsWith('keeper')) assert.deepEqual(parseToml(text, keeperFields).ok, true, name)
      if (name !== 'intent.toml') continue
      const parsed = parseIntent(text)
      assert.ok(parsed.ok, JSON.stringify(parsed))
      assert.deepEqual(checkDocument(parsed.value.items), [])
    }
  })
}

test('the generated documentation is up to date', () => {
  for (const [path, text] of composePages()) assert.equal(readFileSync(path, 'utf8'), text, `${path}: run npm run docs`)
})
