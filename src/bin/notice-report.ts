/** Output of `wrenlane status --registry`: notices from response headers of endpoints, and gateways that have lost paths to endpoints. */
import { request } from 'node:http'
import type { Address } from '../config/index.js'
import type { LostPathStatus, NoticeStatus } from '../protocol/index.js'
import { OperatorError } from './operator-client.js'

/** Idle timeout of the request to the registry, ms. */
const requestTimeoutMs = 2000

/** Queries a registry. Rejects with an `OperatorError` if the request fails. */
export function readNotices (address: Address): Promise<NoticeStatus[]> { return readList(address, '/v1/notices') }

/** Queries a registry. Rejects with an `OperatorError` if the request fails. */
export function readLostPaths (address: Address): Promise<LostPathStatus[]> { return readList(address, '/v1/lost-paths') }

function readList<T> ({ host, port }: Address, path: string): Promise<T[]> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string): void => reject(new OperatorError(`the registry at ${host}:${port} ${reason}`))
    const call = request({ host, port, path, timeout: requestTimeoutMs }, response => {
      let text = ''
      response.on('data', (chunk: Buffer) => { text += chunk.toString() })
      response.on('error', () => fail('closed the connection before the end of its response'))
      response.on('end', () => response.statusCode === 200 ? resolve(JSON.parse(text) as T[]) : fail(`answered with status ${response.statusCode}`))
    })
    call.on('timeout', () => call.destroy(new Error('request timed out')))
    call.on('error', error => fail(`cannot be reached: ${error.message}`))
    call.end()
  })
}

/** Formats notices as human-readable lines. */
export function formatNotices (notices: readonly NoticeStatus[]): string {
  if (notices.length === 0) return 'no endpoint has announced a rate limit, brittleness, back-off or shutdown'
  return notices.map(formatNotice).join('\n')
}

/** Formats gateways with lost paths as human-readable lines. */
export function formatLostPaths (lost: readonly LostPathStatus[]): string {
  if (lost.length === 0) return 'every connected gateway reaches its endpoints directly'
  return lost.map(({ gateway, services }) => `${gateway}  reaches endpoints of ${services.join(', ')} only through other gateways`).join('\n')
}

function formatNotice ({ endpoint, service, limit, brittle, isLeaving, ageMs, from, backedOff }: NoticeStatus): string {
  const parts = [
    limit === null ? '' : `limit ${limit}/s`,
    brittle === undefined ? '' : `brittle, refuses ${brittle}/s at most`,
    isLeaving ? 'leaving' : '',
    backedOff === 0 ? '' : `asked ${backedOff} ${backedOff === 1 ? 'box' : 'boxes'} to back off`
  ].filter(word => word !== '')
  const age = ageMs === null ? '' : `  known for ${(ageMs / 1000).toFixed(1)} s, told by ${from ?? 'an answer'}`
  return `${endpoint}  service ${service}  ${parts.length === 0 ? 'limit lifted' : parts.join(', ')}${age}`
}
