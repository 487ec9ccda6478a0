import assert from 'node:assert/strict'
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'

/** How tests name the second part of their loopback addresses. */
const namings = [/\bnumber: (\d+)/g, /\bwithPlace\((\d+)/g, /\b127\.(\d+)\./g]

function listNetworks (file: string): string[] {
  const text = readFileSync(join('test', file), 'utf8')
  return namings.flatMap(naming => [...text.matchAll(naming)].map(([, network]) => network)).filter(network => network !== '0')
}

// Files run beside each other. Two of them had one network: a registry found its port in use, and the file that it
// belonged to did not end.
test('no two files of tests use the same loopback network', () => {
  const owners = new Map<string, string>()
  for (const file of readdirSync('test').filter(name => name.endsWith('.test.ts') && name !== 'networks.test.ts')) {
    for (const network of listNetworks(file)) {
      assert.equal(owners.get(network) ?? file, file, `network ${network} is used by ${owners.get(network)} and ${file}`)
      owners.set(network, file)
    }
  }
})
