import assert from 'node:assert/strict'
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { computeNetwork, isSoakNetwork } from '../src/soak/soak-testbed.js'

/** Patterns for the second octet of the loopback addresses that a test file uses. */
const networkPatterns = [/\bnumber: (\d+)/g, /\bwithPlace\((\d+)/g, /\b127\.(\d+)\./g]

function listNetworks (file: string): string[] {
  const text = readFileSync(join('test', file), 'utf8')
  const named = networkPatterns.flatMap(pattern => [...text.matchAll(pattern)].map(([, network]) => network)).filter(network => network !== '0')
  const seeds = file.startsWith('soak-') ? [...text.matchAll(/\bseed: (\d+)/g)].map(([, seed]) => `${computeNetwork(Number(seed))}`) : []
  return [...named, ...seeds]
}

// Test files run in parallel. If two of them share a network, a registry can find its port in use, and its test file never ends.
test('no two test files use the same loopback network', () => {
  const owners = new Map<string, string>()
  for (const file of readdirSync('test').filter(name => name.endsWith('.test.ts') && name !== 'networks.test.ts')) {
    for (const network of listNetworks(file)) {
      assert.equal(owners.get(network) ?? file, file, `network ${network} is used by ${owners.get(network)} and ${file}`)
      owners.set(network, file)
    }
  }
})

test('only soak runs use the loopback networks of soak runs', () => {
  for (const file of readdirSync('test').filter(name => name.endsWith('.test.ts') && !name.startsWith('soak-') && name !== 'networks.test.ts')) {
    assert.deepEqual(listNetworks(file).filter(network => isSoakNetwork(Number(network))), [], file)
  }
})
