import { createHash } from 'node:crypto'
import { request as httpRequest } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { digestAnswer } from './bulk-endpoint.js'

/** A caller of a `BulkEndpoint` that reads the first bytes of its answer, and the rest only after `readOn`. */
export class PacedCaller {
  /** Whether the answer was whole. */
  readonly isWhole: Promise<boolean>
  bytes = 0
  #request
  #response: IncomingMessage | null = null
  #bytesPerMs = 0

  constructor (host: string, port: number, path: string, headers: Record<string, string>) {
    this.#request = httpRequest({ host, port, path, method: 'POST', headers, agent: false }).end()
    const hash = createHash('sha1')
    this.isWhole = new Promise(resolve => {
      this.#request.on('error', () => resolve(false)).on('response', response => {
        this.#response = response.on('error', () => {}).on('close', () => resolve(response.complete && hash.digest('hex') === digestAnswer(path)))
        response.on('data', (chunk: Buffer) => {
          hash.update(chunk)
          this.bytes += chunk.length
          response.pause()
          if (this.#bytesPerMs > 0) setTimeout(() => response.resume(), chunk.length / this.#bytesPerMs)
        })
      })
    })
  }

  /** Reads on at a pace; at once as much as there is, by default. */
  readOn (bytesPerMs = Infinity): this {
    this.#bytesPerMs = bytesPerMs
    this.#response?.resume()
    return this
  }

  leave (): void { this.#request.destroy() }
}
