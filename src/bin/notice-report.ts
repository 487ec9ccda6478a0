/** What `wrenlane status --registry` shows: what endpoints say of themselves on their answers. */
import { request } from 'node:http'
import type { Address } from '../config/index.js'
import type { NoticeStatus } from '../protocol/index.js'
import { OperatorError } from './operator-client.js'

/** A registry that says nothing for so long is given up, ms. */
const requestTimeoutMs = 2000

/** Asks a registry. Throws an `OperatorError` where it can't be asked. */
export function readNotices ({ host, port }: Address): Promise<NoticeStatus[]> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string): void => reject(new OperatorError(`the registry at ${host}:${port} ${reason}`))
    const call = request({ host, port, path: '/v1/notices', timeout: requestTimeoutMs }, response => {
      let text = ''
      response.on('data', (chunk: Buffer) => { text += chunk.toString() })
      response.on('error', () => fail('broke off its answer'))
      response.on('end', () => response.statusCode === 200 ? resolve(JSON.parse(text) as NoticeStatus[]) : fail(`answered ${response.statusCode}`))
    })
    call.on('timeout', () => call.destroy(new Error('no answer in time')))
    call.on('error', error => fail(`can't be asked: ${error.message}`))
    call.end()
  })
}

/** The notices as lines for people. */
export function formatNotices (notices: readonly NoticeStatus[]): string {
  if (notices.length === 0) return 'no endpoint names a limit, asks boxes to back off or says on its answers that it leaves'
  return notices.map(formatNotice).join('\n')
}

function formatNotice ({ endpoint, service, limit, isLeaving, ageMs, from, backedOff }: NoticeStatus): string {
  const parts = [
    limit === null ? '' : `limit ${limit}/s`,
    isLeaving ? 'leaving' : '',
    backedOff === 0 ? '' : `asked ${backedOff} ${backedOff === 1 ? 'box' : 'boxes'} to back off`
  ].filter(word => word !== '')
  const age = ageMs === null ? '' : `  known for ${(ageMs / 1000).toFixed(1)} s, told by ${from ?? 'an answer'}`
  return `${endpoint}  service ${service}  ${parts.length === 0 ? 'no limit any more' : parts.join(', ')}${age}`
}
