import assert from 'node:assert/strict'
import { Agent } from 'node:http'
import { after, test } from 'node:test'
import { RouteDeployment, composeDocument } from './support/route-deployment.js'

const deployments: RouteDeployment[] = []
after(async () => { for (const deployment of deployments) await deployment.stop() })

// Calls of five workspaces to 16 slots that answer 100 a second: four send 10 a second to any gateway, one sends 80 through the first, with two keys.
async function replay (number: number, mode: 'on' | 'off'): Promise<{ deployment: RouteDeployment, exchanges: string[] }> {
  const deployment = await RouteDeployment.start({ number, registries: 1, gateways: 2, gateway: { contention: { mode } } })
  deployments.push(deployment)
  const workspaces = ['a', 'b', 'c', 'd', 'loud'].map(name => ({ name, keys: [`${name}-1`, `${name}-2`] }))
  await deployment.putDocument(composeDocument(1, { workspaces }))
  for (let i = 0; i < 2; i++) Object.assign(await deployment.addEndpoint('desk'), { slots: 8, answerMs: 160 })
  const agent = new Agent({ keepAlive: true })
  const calls: Promise<unknown>[] = []
  for (let tick = 0; tick < 50; tick++) {
    const ask = (workspace: string, key: number, gateway: number): number => calls.push(deployment.ask('/again/x', { agent, gateway, headers: { authorization: `Bearer ${workspace}-${key + 1}` } }))
    for (let i = 0; i < 8; i++) ask('loud', i % 2, 0)
    for (const [i, workspace] of ['a', 'b', 'c', 'd'].entries()) ask(workspace, 0, (tick + i) % 2)
    await new Promise(resolve => setTimeout(resolve, 100))
  }
  await Promise.all(calls)
  agent.destroy()
  return { deployment, exchanges: deployment.lines.filter(line => line.includes('event=exchange ')) }
}

test('a workspace with many keys that fills a plain service is refused on arrival, and no other one: real sockets', async () => {
  const { exchanges } = await replay(71, 'on')
  // Calls that waited for a slot in vain have a line of `plain`; they were not refused on arrival.
  const refused = exchanges.filter(line => line.includes('attempts=""') && line.includes('workspaceShare=') && !line.includes('plain='))
  assert.ok(refused.length > 20, `${refused.length} refused on arrival`)
  assert.deepEqual([...new Set(refused.map(line => /workspace=(\S+)/.exec(line)?.[1]))], ['loud'])
  for (const name of ['a', 'b', 'c', 'd']) {
    const calls = exchanges.filter(line => line.includes(`workspace=${name} `))
    const served = calls.filter(line => line.includes('outcome=ok')).length
    assert.ok(served >= calls.length * 0.9, `${served} of ${calls.length} calls of ${name} were served`)
  }
  // The other gateway knows of the loud workspace from the totals alone.
  const shares = exchanges.filter(line => line.includes('gateway-1')).flatMap(line => /workspaceShare=(\S+?)["\s]/.exec(line)?.[1] ?? [])
  assert.ok(shares.some(text => Number(text.split('/')[4]) >= 0), shares[0])
})

test('without the measures, the same load is refused by endpoints alone: real sockets', async () => {
  const { exchanges } = await replay(72, 'off')
  assert.equal(exchanges.some(line => line.includes('workspaceShare=') || (line.includes('outcome=overloaded') && line.includes('attempts=""'))), false)
})
