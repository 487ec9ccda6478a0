/**
 * An entry box: its tasks, put together. Callers come in over HTTP; keepers
 * bring the configuration; other boxes own some shards, this one owns others.
 */
import { Agent } from 'node:http'
import type { ServerResponse } from 'node:http'
import { performance } from 'node:perf_hooks'
import type { Configuration, EntrySettings, Service, ServiceEndpoint } from '../config/index.js'
import type { ClaimCommand, Member } from '../coordination/index.js'
import { Placer, RetryBudget, brandId, listSharers } from '../core/index.js'
import type { BoxId, EngineId, PlacerShard, RequestId, Shard, ShardAnswer, ShardBox, ShardId, ShardWord, ZoneName } from '../core/index.js'
import { LinkPool, packLoad, unpackLoad } from '../protocol/index.js'
import type { BoxMessage, BoxStatus, Link } from '../protocol/index.js'
import type { EventLog, Metrics } from '../runtime/index.js'
import { CallerServer } from './caller-server.js'
import { ChatExchange } from './chat-exchange.js'
import type { ChatHost, ChatOrder, ChatSummary } from './chat-exchange.js'
import { ConfigFollower } from './config-follower.js'
import { EngineWatch } from './engine-watch.js'
import { Fault } from './fault.js'
import { KeeperClient } from './keeper-client.js'
import { Limits } from './limits.js'
import { MemberTask } from './member-task.js'
import { OpenLinks } from './open-links.js'
import { describeOwned } from './owner-status.js'
import { ShardDirectory, configureShard, listReporting } from './shard-directory.js'
import { ServiceExchange } from './service-exchange.js'
import type { ClaimEnd, ServiceHost, ServiceOrder, ServiceSummary } from './service-exchange.js'
import { ShardOwner } from './shard-owner.js'

/** What an entry box is given beside its settings. */
export interface EntrySurroundings {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly secret: string
}

const loadsEveryMs = 250
const toldAtOnce = 4
const demandTurns = 40
const tickEveryMs = 100
const watchEveryMs = 2000
const statusTurns = 2
const stopPollMs = 20
const zonePeers = 2
const engineSockets = 4096

export class EntryBox {
  readonly id: BoxId
  readonly zone: ZoneName
  readonly settings: EntrySettings
  #around: EntrySurroundings
  #incarnation = Date.now()
  #links: LinkPool<BoxMessage>
  #openLinks = new OpenLinks<BoxMessage>()
  #keepers: KeeperClient
  #follower: ConfigFollower
  #members: MemberTask | null = null
  #owner: ShardOwner
  #placer: Placer
  #limits: Limits
  #watch: EngineWatch
  #server: CallerServer
  #agent = new Agent({ keepAlive: true, maxSockets: engineSockets, maxFreeSockets: 256, scheduling: 'lifo' })
  #budgets = new Map<string, RetryBudget>()
  #directory: ShardDirectory
  #dialed = new Set<string>()
  #timers: NodeJS.Timeout[] = []
  #requests = 0
  #attempts = 0
  #services = 0
  #loadsTurn = 0
  #watchTurn = 0
  #leaving = false
  #killed = false
  #violations = 0
  port = 0
  controlPort = 0

  constructor (settings: EntrySettings, around: EntrySurroundings) {
    this.id = brandId<BoxId>(settings.id)
    this.zone = brandId<ZoneName>(settings.zone)
    this.settings = settings
    this.#directory = new ShardDirectory({ id: this.id, zone: this.zone }, settings.enginesPerShard)
    this.#around = around
    const now = (): number => performance.now()
    this.#links = new LinkPool({
      id: settings.id,
      secret: around.secret,
      clock: around.log.clock,
      receive: (link, message) => this.#receive(link, message),
      noteOpen: link => this.#noteOpen(link),
      noteClosed: link => this.#openLinks.remove(link),
      noteFault: (fault, peer) => {
        around.metrics.count('link-fault', { fault })
        around.log.warn('link-fault', { fault, peer })
      }
    })
    this.#keepers = new KeeperClient(settings.keepers, this.#links, now)
    this.#follower = new ConfigFollower(settings.cacheFile, configuration => this.#noteConfiguration(configuration))
    this.#owner = new ShardOwner({
      now,
      random: Math.random,
      answer: (box, shard, answer) => this.#answerShard(box, shard, answer),
      noteViolation: (rule, detail) => this.#noteViolation(rule, detail),
      noteYield: (request, engine, to) => around.log.info('yield', { request, engine, to })
    })
    this.#placer = new Placer({
      box: this.id,
      zone: this.zone,
      now,
      random: Math.random,
      send: (owner, shard, word) => this.#sendShard(owner, shard, word),
      isReachable: owner => owner === this.id || this.#openLinks.find(owner) !== undefined,
      noteViolation: (rule, detail) => this.#noteViolation(rule, detail)
    })
    this.#limits = new Limits(now)
    this.#watch = new EngineWatch({
      agent: this.#agent,
      listEngines: () => listReporting(this.#owner.shards, this.configuration),
      noteReport: (engine, report) => this.#noteEngine(engine.id, shard => this.#owner.noteEngine(shard, { type: 'report', at: now(), engine: engine.id, report })),
      noteEvicted: (engine, prefixes) => this.#noteEngine(engine.id, shard => this.#owner.noteEngine(shard, { type: 'evicted', at: now(), engine: engine.id, prefixes }))
    })
    this.#server = new CallerServer(this.#createCallerHost(now))
  }

  get configuration (): Configuration { return this.#follower.configuration }
  get inFlight (): number { return this.#placer.inFlight + this.#services }
  get violations (): number { return this.#violations }
  get traffic (): { readonly bytesIn: number, readonly bytesOut: number } {
    const { bytesIn, bytesOut } = this.#links.traffic
    return { bytesIn: bytesIn + (this.#members?.bytesIn ?? 0), bytesOut: bytesOut + (this.#members?.bytesOut ?? 0) }
  }

  /** Opens all sockets and begins to serve. */
  async start (): Promise<void> {
    this.#follower.load()
    this.controlPort = await this.#links.listen(this.settings.control.host, this.settings.control.port)
    await this.#startMembers()
    this.port = await this.#server.listen()
    this.#timers = [
      setInterval(() => this.#tellLoads(), loadsEveryMs),
      setInterval(() => this.#placer.tick(), tickEveryMs),
      setInterval(() => this.#askForConfig(), watchEveryMs)
    ]
    this.#around.log.info('entry-started', { zone: this.zone, port: this.port, control: this.controlPort })
  }

  /**
   * A planned stop: readiness goes red, the balancer's lag passes, what is in
   * flight ends, and nothing is cut. Resolves with what was cut at the limit.
   */
  async stop (): Promise<number> {
    this.#leaving = true
    this.#around.log.info('leaving', { inFlight: this.inFlight })
    this.#members?.leave()
    this.#updateShards()
    await sleep(this.settings.balancerLagMs)
    this.#server.stopAccepting()
    const until = performance.now() + this.settings.drainMs
    while (this.inFlight > 0 && performance.now() < until) await sleep(stopPollMs)
    const cut = this.inFlight
    this.kill()
    this.#around.log.info('entry-stopped', { cut })
    return cut
  }

  /** Ends at once; what was in flight is cut. */
  kill (): void {
    if (this.#killed) return
    this.#killed = true
    for (const timer of this.#timers) clearInterval(timer)
    this.#server.cut()
    this.#watch.close()
    this.#owner.close()
    this.#keepers.close()
    this.#members?.close()
    this.#links.close()
    this.#agent.destroy()
  }

  composeStatus (): BoxStatus {
    return {
      id: this.id,
      zone: this.zone,
      revision: this.#follower.revision,
      ready: this.#isReady,
      leaving: this.#leaving,
      inFlight: this.inFlight,
      ...describeOwned(this.#owner, this.id),
      violations: this.#violations,
      incarnation: String(this.#incarnation),
      sentAt: Date.now()
    }
  }

  get #isReady (): boolean { return !this.#leaving && this.#follower.revision > 0 }

  // Callers.

  #createCallerHost (now: () => number): ConstructorParameters<typeof CallerServer>[0] {
    const box = this
    return {
      settings: this.settings,
      get configuration () { return box.configuration },
      get isReady () { return box.#isReady },
      get isLeaving () { return box.#leaving },
      now,
      nextRequestId: () => this.#nextRequestId(),
      startChat: (order, response) => this.#startChat(order, response),
      startService: (order, response) => this.#startService(order, response),
      noteRefused: (requestId, fault) => this.#noteRefused(requestId, fault)
    }
  }

  #nextRequestId (): RequestId {
    this.#requests += 1
    return brandId<RequestId>(`${this.id}-${this.#incarnation.toString(36)}-${this.#requests.toString(36)}`)
  }

  #startChat (order: ChatOrder, response: ServerResponse): void {
    const answer = this.#limits.enter(order.workspace, order.promptTokens)
    if (answer.type === 'over') {
      throw new Fault('workspace-limit', `workspace ${order.workspace.name} has used up its limit`, { retryAfterMs: answer.retryAfterMs })
    }
    new ChatExchange(this.#createChatHost(), order, response).run()
  }

  #createChatHost (): ChatHost {
    return {
      box: this.id,
      agent: this.#agent,
      now: () => performance.now(),
      findEngine: id => this.configuration.engines.get(id),
      canResume: engine => this.configuration.pools.get(engine.pool)?.protocol === 'wrenlane',
      place: (submission, mayWait) => new Promise(resolve => this.#placer.place(submission, mayWait, resolve)),
      noteFirstToken: request => this.#placer.noteFirstToken(request),
      end: (request, how, tokens) => this.#placer.end(request, how, tokens),
      cancel: request => this.#placer.cancel(request),
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
    this.#limits.leave(order.workspace.name, tokens)
    if (kind === 'ok') this.#openBudget(order.class.name).noteSuccess()
    const met = kind === 'ok' && firstTokenMs !== null && firstTokenMs <= order.class.firstTokenMs
    const tags = { class: order.class.name }
    this.#around.metrics.count('requests', { ...tags, kind })
    if (met) this.#around.metrics.count('goodput', tags)
    if (summary.wastedTokens > 0) this.#around.metrics.count('wasted-tokens', tags, summary.wastedTokens)
    if (firstTokenMs !== null) this.#around.metrics.time('first-token', firstTokenMs, tags)
    this.#around.log.info('request', {
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

  #noteRefused (requestId: string, fault: Fault): void {
    this.#around.metrics.count('requests', { kind: fault.kind })
    this.#around.log.info('refused', { request: requestId, kind: fault.kind, text: fault.message })
  }

  #startService (order: ServiceOrder, response: ServerResponse): void {
    this.#services += 1
    void new ServiceExchange(this.#createServiceHost(), order, response).run()
  }

  #createServiceHost (): ServiceHost {
    return {
      agent: this.#agent,
      now: () => performance.now(),
      nextAttempt: () => this.#nextAttempt(),
      sendClaim: (command, timeoutMs) => this.#sendClaim(command, timeoutMs),
      orderEndpoints: service => this.#orderEndpoints(service),
      noteEnd: summary => this.#noteServiceEnd(summary)
    }
  }

  #nextAttempt (): string {
    this.#attempts += 1
    return `${this.id}/${this.#incarnation}/${this.#attempts}`
  }

  async #sendClaim (command: ClaimCommand, timeoutMs: number): Promise<ClaimEnd> {
    if (command.type === 'claim' && !this.#keepers.isConnected) return { type: 'unsent' }
    const end = await this.#keepers.call({ type: 'command', command: { part: 'claims', command } }, timeoutMs)
    if (end.type !== 'reply') return end
    if (end.reply.type !== 'result') return { type: 'unanswered' }
    return { type: 'result', result: end.reply.result as Extract<ClaimEnd, { type: 'result' }>['result'] }
  }

  #orderEndpoints (service: Service): readonly ServiceEndpoint[] {
    const near = service.endpoints.filter(endpoint => endpoint.zone === this.zone)
    const far = service.endpoints.filter(endpoint => endpoint.zone !== this.zone)
    return [...rotate(near, this.#attempts), ...rotate(far, this.#attempts)]
  }

  #noteServiceEnd (summary: ServiceSummary): void {
    this.#services -= 1
    const { order, kind } = summary
    this.#around.metrics.count('calls', { service: order.service.name, kind })
    this.#around.log.info('call', {
      request: order.requestId,
      workspace: order.workspace,
      service: order.service.name,
      kind,
      status: summary.status,
      totalMs: Math.round(summary.totalMs)
    })
  }

  // Links and messages.

  #noteOpen (link: Link<BoxMessage>): void {
    this.#openLinks.add(link)
    if (this.#isKeeper(link.peer)) this.#watchKeeper(link, true)
    else this.#placer.reopen(brandId<BoxId>(link.peer))
  }

  #isKeeper (name: string): boolean {
    return this.settings.keepers.some(keeper => keeper.id === name)
  }

  #receive (link: Link<BoxMessage>, message: BoxMessage): void {
    const from = brandId<BoxId>(link.peer)
    switch (message.type) {
      case 'reply': return this.#keepers.receive(from, message.call, message.body)
      case 'revisions':
        if (!this.#follower.takeRevisions(message.revisions)) link.send({ type: 'watch', revision: this.#follower.revision, status: null })
        return
      case 'whole': return this.#follower.takeWhole(message.document, message.revision)
      case 'ask-config': return this.#giveConfig(link, message.revision)
      case 'shard-word': return this.#takeWord(link, message.shard, message.word)
      case 'shard-answer': return this.#placer.receive(message.shard, message.answer)
      case 'not-owner': return this.#placer.noteNotOwner(message.shard, message.request)
      case 'loads':
        this.#placer.noteLoads(from, message.loads.map(unpackLoad))
        if (message.demands !== null) this.#limits.note(from, message.demands)
        return
      case 'keeper-hello': return
      default: this.#noteViolation('known-messages', message.type)
    }
  }

  // Configuration.

  #watchKeeper (link: Link<BoxMessage>, withStatus: boolean): void {
    link.send({ type: 'watch', revision: this.#follower.revision, status: withStatus ? this.composeStatus() : null })
  }

  // Every keeper is told the revision, one at a time the whole status.
  #watchKeepers (statusTo: number | null): void {
    this.settings.keepers.forEach(({ id }, i) => {
      const link = this.#openLinks.find(id)
      if (link !== undefined) this.#watchKeeper(link, i === statusTo)
    })
  }

  #askForConfig (): void {
    this.#watchTurn += 1
    const isStatusDue = this.#watchTurn % statusTurns === 0
    this.#watchKeepers(isStatusDue ? (this.#watchTurn / statusTurns) % this.settings.keepers.length : null)
    for (const peer of this.#listZonePeers()) {
      this.#openLinks.find(peer.id)?.send({ type: 'ask-config', revision: this.#follower.revision })
    }
  }

  #giveConfig (link: Link<BoxMessage>, revision: number): void {
    if (revision >= this.#follower.revision) return
    const since = this.#follower.findSince(revision)
    if (since !== null) link.send({ type: 'revisions', revisions: since })
    else link.send({ type: 'whole', document: this.#follower.document, revision: this.#follower.revision })
  }

  #noteConfiguration (configuration: Configuration): void {
    this.#around.log.info('configuration', { revision: configuration.revision })
    this.#around.metrics.gauge('revision', configuration.revision)
    this.#updateShards()
    this.#watchKeepers(null)
  }

  // Members and shards.

  async #startMembers (): Promise<void> {
    const { control, zone, id } = this.settings
    const self: Member = { id, incarnation: this.#incarnation, zone, host: control.host, port: this.controlPort, state: 'alive', version: 0 }
    this.#members = new MemberTask(self, this.settings.members, {
      secret: this.#around.secret,
      now: () => performance.now(),
      random: Math.random,
      noteChange: (member, before) => this.#noteMember(member, before),
      noteBadDatagram: () => this.#around.metrics.count('bad-datagram')
    })
    await this.#members.start()
    this.#updateShards()
  }

  #noteMember (member: Member, before: string | null): void {
    this.#around.log.info('member', { member: member.id, state: member.state, before, zone: member.zone })
    if (member.state === 'gone') {
      this.#owner.loseBox(brandId<BoxId>(member.id))
      this.#links.hangUp(member.host, member.port)
      this.#dialed.delete(`${member.host}:${member.port}`)
    }
    this.#updateShards()
  }

  #listBoxes (): ShardBox[] {
    const members = this.#members?.members ?? []
    return members
      .filter(member => member.state === 'alive' || member.state === 'suspect')
      .map(member => ({ id: brandId<BoxId>(member.id), zone: brandId<ZoneName>(member.zone) }))
  }

  #listSharers (): string[] {
    const remembered = this.#members?.remembered ?? []
    const sharers = listSharers(remembered.map(({ id, zone, state }) => ({ id, zone, isGone: state === 'gone' })))
    return sharers.filter(sharer => sharer.id !== this.id).map(sharer => sharer.id)
  }

  #listZonePeers (): Member[] {
    const peers = (this.#members?.members ?? []).filter(member => member.zone === this.zone && member.id !== this.id)
    return rotate(peers, this.#requests).slice(0, zonePeers)
  }

  #updateShards (): void {
    if (this.#members === null) return
    const boxes = this.#listBoxes()
    this.#directory.update(this.configuration, boxes)
    this.#limits.setSharers(this.#listSharers())
    const { own, used } = this.#directory
    this.#owner.assign(own, shard => configureShard(shard, this.configuration))
    this.#dialOwners(used)
    this.#placer.setShards(used)
    for (const shard of own) this.#drainConfigured(shard)
  }

  #drainConfigured (shard: Shard): void {
    for (const id of shard.engines) {
      this.#owner.drain(id, this.configuration.engines.get(id)?.leaving === true)
    }
  }

  #dialOwners (shards: readonly PlacerShard[]): void {
    const wanted = new Set(shards.map(shard => shard.owner))
    for (const peer of this.#listZonePeers()) wanted.add(brandId<BoxId>(peer.id))
    for (const member of this.#members?.members ?? []) {
      if (member.id === this.id || !wanted.has(brandId<BoxId>(member.id))) continue
      const key = `${member.host}:${member.port}`
      if (this.#dialed.has(key)) continue
      this.#dialed.add(key)
      this.#links.dial(member.host, member.port)
    }
  }

  #sendShard (owner: BoxId, shard: ShardId, word: ShardWord): boolean {
    if (owner === this.id) return this.#owner.take(shard, word)
    return this.#openLinks.find(owner)?.send({ type: 'shard-word', shard, word }) === true
  }

  #takeWord (link: Link<BoxMessage>, shard: ShardId, word: ShardWord): void {
    if (this.#owner.take(shard, word) || word.type !== 'submit') return
    const { request, attempt } = word.submission
    link.send({ type: 'not-owner', shard, request, attempt })
  }

  #answerShard (box: BoxId, shard: ShardId, answer: ShardAnswer): void {
    if (box === this.id) return this.#placer.receive(shard, answer)
    this.#openLinks.find(box)?.send({ type: 'shard-answer', shard, answer })
  }

  #tellLoads (): void {
    const { loads } = this.#owner
    this.#placer.noteLoads(this.id, loads)
    const packed = loads.map(([shard, load]) => packLoad(shard, load))
    const peers = this.#openLinks.peers.filter(peer => !this.#isKeeper(peer) && !peer.startsWith('operator'))
    // With many links each is told less often, so the traffic stays the same.
    const turns = Math.max(1, Math.ceil(peers.length / toldAtOnce))
    this.#loadsTurn += 1
    const demands = this.#loadsTurn % demandTurns < turns ? this.#limits.demands : null
    const message: BoxMessage = { type: 'loads', loads: packed, demands }
    for (const peer of peers.filter((_, i) => i % turns === this.#loadsTurn % turns)) this.#openLinks.find(peer)?.send(message)
  }

  // Engines.

  #noteEngine (engine: EngineId, note: (shard: ShardId) => void): void {
    const shard = this.#directory.findShard(engine)
    if (shard !== undefined) note(shard)
  }

  #noteViolation (rule: string, detail: string): void {
    this.#violations += 1
    this.#around.metrics.count('violation', { rule })
    this.#around.log.error('violation', { rule, detail })
  }
}

function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

function rotate<T> (items: readonly T[], by: number): T[] {
  if (items.length === 0) return []
  const at = by % items.length
  return [...items.slice(at), ...items.slice(0, at)]
}
