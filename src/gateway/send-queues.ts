/**
 * How much the system holds for each TCP connection. Node learns that a peer has read only once a third of the send
 * buffer of up to 4 MB is free; this list of Linux shows it within about 100 KB.
 */
import { readFile } from 'node:fs/promises'
import { isIPv4 } from 'node:net'
import type { Socket } from 'node:net'

/** Bytes sent or waiting, and not acknowledged by the peer, by `formatConnection`. */
export type SendQueues = ReadonlyMap<string, number>

const listPath = '/proc/net/tcp'
/** Columns of the list: addresses of both sides, and both queues as hexadecimal numbers. */
const linePattern = /^\s*\d+: ([0-9A-F]{8}:[0-9A-F]{4} [0-9A-F]{8}:[0-9A-F]{4}) [0-9A-F]{2} ([0-9A-F]{8}):/gm

/** The queues of all IPv4 connections; empty on a system without such a list. */
export async function readSendQueues (): Promise<SendQueues> {
  const text = await readFile(listPath, 'latin1').catch(() => '')
  return new Map(Array.from(text.matchAll(linePattern), ([, connection, queue]) => [connection, parseInt(queue, 16)]))
}

/** The connection as the list names it; null for one that the list does not have. */
export function formatConnection ({ localAddress, localPort, remoteAddress, remotePort }: Socket): string | null {
  const local = formatAddress(localAddress, localPort)
  const remote = formatAddress(remoteAddress, remotePort)
  return local === null || remote === null ? null : `${local} ${remote}`
}

// The list gives the bytes of addresses in the order of the machine.
function formatAddress (address: string | undefined, port: number | undefined): string | null {
  const plain = address?.replace(/^::ffff:/, '') ?? ''
  if (!isIPv4(plain) || port === undefined) return null
  const bytes = plain.split('.').reverse().map(byte => formatHex(Number(byte), 2))
  return `${bytes.join('')}:${formatHex(port, 4)}`
}

function formatHex (value: number, digits: number): string { return value.toString(16).toUpperCase().padStart(digits, '0') }
