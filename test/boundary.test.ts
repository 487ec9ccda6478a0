import assert from 'node:assert/strict'
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'

/** Names of the users' platform, which may occur only in `platform/`. */
const platformNames = /X-Attempt-Id|X-Deadline-Ms|X-Prefix-Hash|X-Token-Usage|X-Response-Seal|X-Tenant|X-Expect-Instance|X-Not-Executed|X-Priority-Class|X-Model\b|Kv-From|Kv-Fetch|X-Pin-Ms|beatAddr|\brouteKind\b|sloMs|itlTargetMs|kvCapacityTokens|kvTokenBytes|apiKeys|maxConns|pathPrefix|non_idempotent|coldLeftMs|\/api\/(config|instances|readyz|report|kv-)|WRENLANE_BOOT|\btenants?\b|control_plane/
/** Code that makes decisions, keeps state, or uses clocks and sockets. */
const statefulCode = /setTimeout|setInterval|Date\.now|performance\.|Math\.random|from 'node:|^(?:export )?class |\bawait\b|\bwhile \(|\bfor \(/m

function listFiles (folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' }).filter(name => /\.ts$/.test(name)).map(name => join(folder, name))
}

test('names of the platform do not occur in src/', () => {
  for (const file of listFiles('src')) {
    const found = platformNames.exec(readFileSync(file, 'utf8'))
    assert.equal(found, null, `${file}: ${found?.[0]}`)
  }
})

test('platform/ only decodes, encodes and starts programs; it contains no logic', () => {
  let lines = 0
  for (const file of listFiles('platform')) {
    const text = readFileSync(file, 'utf8')
    const found = statefulCode.exec(text)
    assert.equal(found, null, `${file}: ${found?.[0]}`)
    lines += text.split('\n').length
  }
  assert.ok(lines < 300, `platform/ has ${lines} lines`)
})
