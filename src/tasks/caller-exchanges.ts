/** Starts the request exchanges of an entry box, holds their retry budgets, and records their outcomes in logs and metrics. */
import type { Agent, ServerResponse } from 'node:http'
import { performance } from 'node:perf_hooks'
import type { Configuration, Service, ServiceEndpoint } from '../config/index.js'
import type { ClaimCommand } from '../coordination/index.js'
import { RetryBudget, brandId } from '../core/index.js'
import type { BoxId, EngineId, Placer, PlannedStop, RequestId, ZoneName } from '../core/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import { ChatExchange } from './chat-exchange.js'
import type { ChatHost, ChatContext, ChatSummary } from './chat-host.js'
import { RequestError } from './request-error.js'
import type { KeeperClient } from './keeper-client.js'
import type { Limits } from './limits.js'
import { rotate } from './rotate.js'
import { ServiceExchange } from './service-exchange.js'
import type { CallEnd } from './service-attempts.js'
import type { ClaimOutcome, ServiceHost, ServiceContext, ServiceSummary } from './service-exchange.js'

/** What the exchanges depend on. */
export interface CallerExchangesHost {
  readonly id: BoxId
  readonly zone: ZoneName
  readonly incarnation: number
  readonly agent: Agent
  readonly placer: Placer
  readonly limits: Limits
  readonly keepers: KeeperClient
  readonly plannedStop: PlannedStop
  readonly log: EventLog
  readonly metrics: Metrics
  /** The current configuration. */
  getConfiguration (): Configuration
}

export class CallerExchanges {
  #host: CallerExchangesHost
  #retryBudgets = new Map<string, RetryBudget>()
  #requestCount = 0
  #attemptCount = 0
  #serviceCallsInFlight = 0
  /** Exchanges whose callers are connected. */
  #chats = new Set<ChatExchange>()
  #calls = new Set<ServiceExchange>()

  constructor (host: CallerExchangesHost) {
    this.#host = host
  }

  /** Number of requests received since start. */
  get requestCount (): number { return this.#requestCount }
  /** Number of service calls in flight, including those whose callers have been answered. */
  get serviceCallsInFlight (): number { return this.#serviceCallsInFlight }

  createRequestId (): RequestId {
    const { id, incarnation } = this.#host
    this.#requestCount += 1
    return brandId<RequestId>(`${id}-${incarnation.toString(36)}-${this.#requestCount.toString(36)}`)
  }

  /** Throws a `RequestError` if the workspace has exceeded a limit. */
  startChat (context: ChatContext, response: ServerResponse): void {
    const admission = this.#host.limits.admit(context.workspace, context.promptTokens)
    if (admission.type === 'over') {
      throw new RequestError('workspace-limit', `workspace ${context.workspace.name} has exceeded a limit`, { retryAfterMs: admission.retryAfterMs })
    }
    const exchange = new ChatExchange(this.#createChatHost(), context, response)
    this.#chats.add(exchange)
    response.on('close', () => this.#chats.delete(exchange))
    exchange.run()
  }

  startService (context: ServiceContext, response: ServerResponse): Promise<void> {
    this.#serviceCallsInFlight += 1
    const exchange = new ServiceExchange(this.#createServiceHost(), context, response)
    this.#calls.add(exchange)
    response.on('close', () => this.#calls.delete(exchange))
    return exchange.run().finally(() => { this.#serviceCallsInFlight -= 1 })
  }

  /** Refuses the chats that wait for an engine, as the box begins to stop: nothing bounds their length, and another box takes them at once. */
  refuseUnsentChats (): void { for (const exchange of [...this.#chats]) exchange.refuseUnsent() }

  /** Gives all callers without an answer a final one, as the box stops. */
  stop (): void { for (const exchange of [...this.#chats, ...this.#calls]) exchange.stop() }

  noteRefused (requestId: string, error: RequestError): void {
    // A metric has the same labels each time; the class of a refused request may not be known.
    this.#host.metrics.count('requests', { class: '', kind: error.kind })
    this.#host.log.info('refused', { request: requestId, kind: error.kind, text: error.message })
  }

  // Chat completions.

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
      takeRetry: name => this.#getRetryBudget(name).take(),
      putBackRetry: name => this.#getRetryBudget(name).putBack(),
      noteSilence: (request, engine) => this.#noteSilence(request, engine),
      noteEnd: summary => this.#noteChatEnd(summary)
    }
  }

  #getRetryBudget (name: string): RetryBudget {
    const existing = this.#retryBudgets.get(name)
    if (existing !== undefined) return existing
    const created = new RetryBudget()
    this.#retryBudgets.set(name, created)
    return created
  }

  #noteSilence (request: RequestId, engine: EngineId): void {
    this.#host.metrics.count('silences')
    this.#host.log.info('engine-silent', { request, engine })
  }

  #noteChatEnd (summary: ChatSummary): void {
    const { context, kind, tokens, firstTokenMs } = summary
    const { limits, log } = this.#host
    limits.release(context.workspace.name, tokens)
    if (kind === 'ok') this.#getRetryBudget(context.class.name).noteSuccess()
    const isTargetMet = kind === 'ok' && firstTokenMs !== null && firstTokenMs <= context.class.firstTokenMs
    this.#countChat(summary, isTargetMet)
    log.info('request', {
      request: context.requestId,
      workspace: context.workspace.name,
      class: context.class.name,
      kind,
      status: summary.status,
      attempts: summary.attempts,
      engine: summary.engine,
      tokens,
      firstTokenMs: firstTokenMs === null ? null : Math.round(firstTokenMs),
      totalMs: Math.round(summary.totalMs),
      met: isTargetMet
    })
  }

  #countChat ({ context, kind, wastedTokens, firstTokenMs }: ChatSummary, isTargetMet: boolean): void {
    const { metrics } = this.#host
    const tags = { class: context.class.name }
    metrics.count('requests', { ...tags, kind })
    if (isTargetMet) metrics.count('goodput', tags)
    if (wastedTokens > 0) metrics.count('wasted-tokens', tags, wastedTokens)
    if (firstTokenMs !== null) metrics.time('first-token', firstTokenMs, tags)
  }

  // Service calls.

  #createServiceHost (): ServiceHost {
    return {
      agent: this.#host.agent,
      now: () => performance.now(),
      createAttemptId: () => this.#createAttemptId(),
      sendClaim: (command, timeoutMs) => this.#sendClaim(command, timeoutMs),
      mayBegin: work => this.#host.plannedStop.mayBegin(work),
      orderEndpoints: service => this.#orderEndpoints(service),
      noteEnd: summary => this.#noteServiceEnd(summary),
      noteLateEnd: (context, end, lateMs) => this.#noteLateEnd(context, end, lateMs)
    }
  }

  #createAttemptId (): string {
    const { id, incarnation } = this.#host
    this.#attemptCount += 1
    return `${id}/${incarnation}/${this.#attemptCount}`
  }

  async #sendClaim (command: ClaimCommand, timeoutMs: number): Promise<ClaimOutcome> {
    const { keepers } = this.#host
    if (command.type === 'claim' && !keepers.isConnected) return { type: 'unsent' }
    const outcome = await keepers.call({ type: 'command', command: { part: 'claims', command } }, timeoutMs)
    if (outcome.type !== 'reply') return outcome
    if (outcome.reply.type !== 'result') return { type: 'unanswered' }
    return { type: 'result', result: outcome.reply.result as Extract<ClaimOutcome, { type: 'result' }>['result'] }
  }

  #orderEndpoints (service: Service): readonly ServiceEndpoint[] {
    const sameZone = service.endpoints.filter(endpoint => endpoint.zone === this.#host.zone)
    const otherZones = service.endpoints.filter(endpoint => endpoint.zone !== this.#host.zone)
    return [...rotate(sameZone, this.#attemptCount), ...rotate(otherZones, this.#attemptCount)]
  }

  #noteServiceEnd ({ context, kind, status, totalMs, isUnframed }: ServiceSummary): void {
    if (isUnframed) this.#host.metrics.count('unframed-answers', { service: context.service.name })
    this.#host.metrics.count('calls', { service: context.service.name, kind })
    this.#host.log.info('call', {
      request: context.requestId,
      workspace: context.workspace,
      service: context.service.name,
      kind,
      status,
      unframed: isUnframed || undefined,
      totalMs: Math.round(totalMs)
    })
  }

  #noteLateEnd ({ requestId, service }: ServiceContext, end: CallEnd['type'], lateMs: number): void {
    this.#host.metrics.count('late-calls', { service: service.name, end })
    this.#host.log.info('call-ended-late', { request: requestId, service: service.name, end, lateMs: Math.round(lateMs) })
  }
}
