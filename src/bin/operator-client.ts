/** Client of the operator commands: calls keepers over the links that boxes use. */
import { createHash, randomUUID } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import type { Address, KeeperAddress } from '../config/index.js'
import type { CommandId } from '../coordination/index.js'
import { LinkPool } from '../protocol/index.js'
import type { BoxMessage, KeeperCall, KeeperReply } from '../protocol/index.js'
import { HybridClock } from '../runtime/index.js'
import { KeeperClient } from '../tasks/index.js'

const callTimeoutMs = 10_000
const repairTimeoutMs = 90_000
const directCallTimeoutMs = 1500
const connectPollMs = 10

/** A failed call, with a message for the operator. */
export class OperatorError extends Error {}

export class OperatorClient {
  readonly operator: string
  #links: LinkPool<BoxMessage>
  #client: KeeperClient
  #keepers: readonly KeeperAddress[]
  #directCalls = new Map<number, (reply: KeeperReply) => void>()
  #lastCallId = 1_000_000

  constructor (operator: string, keepers: readonly KeeperAddress[], secret: string) {
    this.operator = operator
    this.#keepers = keepers
    this.#links = new LinkPool<BoxMessage>({
      id: `operator-${operator}`,
      secret,
      clock: new HybridClock(Date.now),
      receive: (link, message) => this.#receive(link.peer, message),
      noteOpen: () => {},
      noteClosed: () => {},
      noteFault: () => {}
    })
    this.#client = new KeeperClient(keepers, this.#links, () => performance.now())
  }

  /** Creates the id of a command. Resending the same body under the same number is idempotent; without a number, a random one is used. */
  createCommandId (body: string, number?: string): CommandId {
    const digest = createHash('sha256').update(body).digest('base64url')
    return { operator: this.operator, number: number ?? randomUUID(), digest }
  }

  /** Calls the leader of the keepers. Rejects with an `OperatorError` if none answers. */
  async call (body: KeeperCall): Promise<KeeperReply> {
    const outcome = await this.#client.call(body, body.type === 'repair' ? repairTimeoutMs : callTimeoutMs)
    switch (outcome.type) {
      case 'reply': return outcome.reply
      case 'unsent': throw new OperatorError('no keeper is reachable; nothing was changed')
      case 'unanswered': throw new OperatorError('timeout: no quorum of keepers answered, so the command may or may not have been applied. Resend it with the same --number to find out')
    }
  }

  /** Calls one keeper, leader or not; resolves with null if it is unreachable or does not answer in time. */
  async callKeeper (keeper: KeeperAddress, body: KeeperCall): Promise<KeeperReply | null> {
    if (!await this.#connect(keeper)) return null
    return await new Promise(resolve => {
      const call = this.#nextCallId()
      this.#directCalls.set(call, resolve)
      setTimeout(() => resolve(null), directCallTimeoutMs)
      this.#links.find(keeper.host, keeper.port)?.send({ type: 'call', call, body })
    })
  }

  get keepers (): readonly KeeperAddress[] { return this.#keepers }

  close (): void {
    this.#client.close()
    this.#links.close()
  }

  #nextCallId (): number {
    this.#lastCallId += 1
    return this.#lastCallId
  }

  async #connect ({ host, port }: Address): Promise<boolean> {
    const deadline = performance.now() + directCallTimeoutMs
    while (this.#links.find(host, port) === undefined) {
      if (performance.now() > deadline) return false
      await new Promise(resolve => setTimeout(resolve, connectPollMs))
    }
    return true
  }

  #receive (from: string, message: BoxMessage): void {
    if (message.type !== 'reply') return
    const resolveDirect = this.#directCalls.get(message.call)
    if (resolveDirect === undefined) return this.#client.receive(from, message.call, message.body)
    this.#directCalls.delete(message.call)
    resolveDirect(message.body)
  }
}
