/** The exchanges of an entry box's callers: what each needs of the box, what they may spend, and what is told of their ends. */
import type { Agent, ServerResponse } from 'node:http'
import { performance } from 'node:perf_hooks'
import type { Configuration, Service, ServiceEndpoint } from '../config/index.js'
import type { ClaimCommand } from '../coordination/index.js'
import { RetryBudget, brandId } from '../core/index.js'
import type { BoxId, Placer, RequestId, ZoneName } from '../core/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import { ChatExchange } from './chat-exchange.js'
import type { ChatHost, ChatOrder, ChatSummary } from './chat-exchange.js'
import { Fault } from './fault.js'
import type { KeeperClient } from './keeper-client.js'
import type { Limits } from './limits.js'
import { rotate } from './rotate.js'
import { ServiceExchange } from './service-exchange.js'
import type { ClaimEnd, ServiceHost, ServiceOrder, ServiceSummary } from './service-exchange.js'

/** The box whose callers they are. */
export interface CallerExchangesHost {
  readonly id: BoxId
  readonly zone: ZoneName
  readonly incarnation: number
  readonly agent: Agent
  readonly placer: Placer
  readonly limits: Limits
  readonly keepers: KeeperClient
  readonly log: EventLog
  readonly metrics: Metrics
  /** The configuration in force. */
  getConfiguration (): Configuration
}

export class CallerExchanges {
  #host: CallerExchangesHost
  #budgets = new Map<string, RetryBudget>()
  #requests = 0
  #attempts = 0
  #services = 0

  constructor (host: CallerExchangesHost) {
    this.#host = host
  }

  /** Requests that came so far. */
  get requests (): number { return this.#requests }
  /** Calls of services in flight. */
  get services (): number { return this.#services }

  nextRequestId (): RequestId {
    const { id, incarnation } = this.#host
    this.#requests += 1
    return brandId<RequestId>(`${id}-${incarnation.toString(36)}-${this.#requests.toString(36)}`)
  }

  /** Throws a `Fault` where the workspace has used up its limit. */
  startChat (order: ChatOrder, response: ServerResponse): void {
    const answer = this.#host.limits.enter(order.workspace, order.promptTokens)
    if (answer.type === 'over') {
      throw new Fault('workspace-limit', `workspace ${order.workspace.name} has used up its limit`, { retryAfterMs: answer.retryAfterMs })
    }
    new ChatExchange(this.#createChatHost(), order, response).run()
  }

  startService (order: ServiceOrder, response: ServerResponse): void {
    this.#services += 1
    void new ServiceExchange(this.#createServiceHost(), order, response).run()
  }

  noteRefused (requestId: string, fault: Fault): void {
    this.#host.metrics.count('requests', { kind: fault.kind })
    this.#host.log.info('refused', { request: requestId, kind: fault.kind, text: fault.message })
  }

  // Chats.

  #createChatHost (): ChatHost {
    const { id, agent, placer } = this.#host
    return {
      box: id,
      agent,
      now: () => performance.now(),
      findEngine: engine => this.#host.getConfiguration().engines.get(engine),
      canResume: engine => this.#host.getConfiguration().pools.get(engine.pool)?.protocol === 'wrenlane',
      place: (submission, mayWait) => new Promise(resolve => placer.place(submission, mayWait, resolve)),
      noteFirstToken: request => placer.noteFirstToken(request),
      end: (request, how, tokens, backoffMs) => placer.end(request, how, tokens, backoffMs),
      cancel: request => placer.cancel(request),
      takeRetry: name => this.#openBudget(name).take(),
      noteEnd: summary => this.#noteChatEnd(summary)
    }
  }

  #openBudget (name: string): RetryBudget {
    const known = this.#budgets.get(name)
    if (known !== undefined) return known
    const made = new RetryBudget()
    this.#budgets.set(name, made)
    return made
  }

  #noteChatEnd (summary: ChatSummary): void {
    const { order, kind, tokens, firstTokenMs } = summary
    const { limits, log } = this.#host
    limits.leave(order.workspace.name, tokens)
    if (kind === 'ok') this.#openBudget(order.class.name).noteSuccess()
    const met = kind === 'ok' && firstTokenMs !== null && firstTokenMs <= order.class.firstTokenMs
    this.#countChat(summary, met)
    log.info('request', {
      request: order.requestId,
      workspace: order.workspace.name,
      class: order.class.name,
      kind,
      status: summary.status,
      attempts: summary.attempts,
      engine: summary.engine,
      tokens,
      firstTokenMs: firstTokenMs === null ? null : Math.round(firstTokenMs),
      totalMs: Math.round(summary.totalMs),
      met
    })
  }

  #countChat ({ order, kind, wastedTokens, firstTokenMs }: ChatSummary, met: boolean): void {
    const { metrics } = this.#host
    const tags = { class: order.class.name }
    metrics.count('requests', { ...tags, kind })
    if (met) metrics.count('goodput', tags)
    if (wastedTokens > 0) metrics.count('wasted-tokens', tags, wastedTokens)
    if (firstTokenMs !== null) metrics.time('first-token', firstTokenMs, tags)
  }

  // Calls of services.

  #createServiceHost (): ServiceHost {
    return {
      agent: this.#host.agent,
      now: () => performance.now(),
      nextAttempt: () => this.#nextAttempt(),
      sendClaim: (command, timeoutMs) => this.#sendClaim(command, timeoutMs),
      orderEndpoints: service => this.#orderEndpoints(service),
      noteEnd: summary => this.#noteServiceEnd(summary)
    }
  }

  #nextAttempt (): string {
    const { id, incarnation } = this.#host
    this.#attempts += 1
    return `${id}/${incarnation}/${this.#attempts}`
  }

  async #sendClaim (command: ClaimCommand, timeoutMs: number): Promise<ClaimEnd> {
    const { keepers } = this.#host
    if (command.type === 'claim' && !keepers.isConnected) return { type: 'unsent' }
    const end = await keepers.call({ type: 'command', command: { part: 'claims', command } }, timeoutMs)
    if (end.type !== 'reply') return end
    if (end.reply.type !== 'result') return { type: 'unanswered' }
    return { type: 'result', result: end.reply.result as Extract<ClaimEnd, { type: 'result' }>['result'] }
  }

  #orderEndpoints (service: Service): readonly ServiceEndpoint[] {
    const near = service.endpoints.filter(endpoint => endpoint.zone === this.#host.zone)
    const far = service.endpoints.filter(endpoint => endpoint.zone !== this.#host.zone)
    return [...rotate(near, this.#attempts), ...rotate(far, this.#attempts)]
  }

  #noteServiceEnd ({ order, kind, status, totalMs }: ServiceSummary): void {
    this.#services -= 1
    this.#host.metrics.count('calls', { service: order.service.name, kind })
    this.#host.log.info('call', {
      request: order.requestId,
      workspace: order.workspace,
      service: order.service.name,
      kind,
      status,
      totalMs: Math.round(totalMs)
    })
  }
}
