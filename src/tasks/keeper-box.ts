/**
 * A keeper: a replica of the log, the state machine that the log drives, and the
 * handling of calls from boxes and operators. Before the log exists, the keeper
 * waits until it has contact with all the others. A keeper with an empty disk waits
 * to be added as a member if the others have already formed a log.
 */
import { performance } from 'node:perf_hooks'
import type { KeeperSettings } from '../config/index.js'
import { checkDocument, formatMistake, parseIntent, planIntent } from '../config/index.js'
import { KeeperLog, applyChanges, getKeeperName } from '../coordination/index.js'
import type { CommandId, KeeperCommand, KeeperState, LogStore, Members, Replica, ReplicaId } from '../coordination/index.js'
import { computeBudgetBytes } from '../core/index.js'
import { LinkPool } from '../protocol/index.js'
import type { BoxMessage, BoxStatus, KeeperCall, KeeperReply, KeeperStatus, Link } from '../protocol/index.js'
import { ClientMemory } from '../runtime/index.js'
import type { ClientIntake, EventLog, Metrics } from '../runtime/index.js'
import { sendConfigUpdate } from './config-update.js'
import { KeeperRepair } from './keeper-repair.js'
import { countSpareVoters } from './spare-voters.js'

interface KeeperHello {
  readonly replica: ReplicaId
  readonly formed: Members | null
}

interface ConfigWatcher {
  revision: number
}

const helloIntervalMs = 300
/** How long the last status of a box is kept after its last message. */
const boxStatusRetentionMs = 60_000

/** What a keeper depends on besides its settings. */
export interface KeeperDependencies {
  readonly log: EventLog
  readonly metrics: Metrics
  readonly secret: string
  /** That of the process; by default the keeper has memory of its own for links. */
  readonly intake?: ClientIntake
  /** Called after a disk failure; the process must exit with an error. */
  readonly noteFatal: (error: Error) => void
}

export class KeeperBox {
  #settings: KeeperSettings
  #dependencies: KeeperDependencies
  #links: LinkPool<BoxMessage>
  #log: KeeperLog | null = null
  #hellos = new Map<string, KeeperHello>()
  #watchers = new Map<Link<BoxMessage>, ConfigWatcher>()
  #boxStatuses = new Map<string, { status: BoxStatus, at: number }>()
  #timer: NodeJS.Timeout | null = null
  #loggedRevision = 0
  #repairs: KeeperRepair
  port = 0

  constructor (settings: KeeperSettings, dependencies: KeeperDependencies) {
    this.#settings = settings
    this.#dependencies = dependencies
    this.#repairs = new KeeperRepair(dependencies.log)
    this.#links = new LinkPool({
      id: settings.id,
      secret: dependencies.secret,
      clock: dependencies.log.clock,
      memory: dependencies.intake?.memory ?? new ClientMemory(computeBudgetBytes(null, null)),
      receive: (link, message) => this.#receive(link, message),
      noteOpen: link => this.#sendHello(link),
      noteClosed: link => this.#watchers.delete(link),
      noteFault: (fault, peer) => this.#noteLinkFault(fault, peer)
    })
  }

  get replica (): Replica | null { return this.#log?.replica ?? null }
  get state (): KeeperState { return this.#openedLog.state }
  get traffic (): { readonly bytesIn: number, readonly bytesOut: number } { return this.#links.traffic }
  get store (): LogStore | null { return this.#log?.store ?? null }

  get #openedLog (): KeeperLog {
    if (this.#log === null) throw new Error('the keeper has not started')
    return this.#log
  }

  /** Opens the stored log and starts serving. Throws if the stored log is corrupt. */
  async start (): Promise<void> {
    this.#log = await this.#openLog()
    this.port = await this.#links.listen(this.#settings.control.host, this.#settings.control.port)
    for (const keeper of this.#listOtherKeepers()) this.#links.dial(keeper.host, keeper.port)
    this.#timer = setInterval(() => this.#tick(), helloIntervalMs)
    this.#tick()
    this.#dependencies.log.info('keeper-started', { replica: this.#log.id, formed: this.#log.isFormed })
  }

  /** Transfers leadership if this keeper is the leader, then stops. */
  async stop (): Promise<void> {
    await this.replica?.transfer()
    this.kill()
    await this.#log?.store.close().catch(() => {})
    this.#dependencies.log.info('keeper-stopped')
  }

  /** Stops at once without transferring leadership or closing the store, as a crash would. */
  kill (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#log?.stop()
    this.#links.close()
  }

  #listOtherKeepers () {
    return this.#settings.keepers.filter(keeper => keeper.id !== this.#settings.id)
  }

  // Forming the log for the first time.

  #tick (): void {
    for (const { host, port } of this.#listOtherKeepers()) {
      const link = this.#links.find(host, port)
      if (link !== undefined) this.#sendHello(link)
    }
    void this.#formIfFirst()
    this.#evictStaleStatuses()
  }

  #sendHello (link: Link<BoxMessage>): void {
    const log = this.#log
    if (log === null || !this.#settings.keepers.some(keeper => keeper.id === link.peer)) return
    const formed = log.replica !== null && log.replica.members.voters.length > 0 ? log.replica.members : null
    link.send({ type: 'keeper-hello', name: this.#settings.id, replica: log.id, formed })
  }

  #noteHello (name: string, hello: KeeperHello): void {
    this.#hellos.set(name, hello)
    // If the other keepers have formed a log, a keeper with an empty disk starts as a non-voting replica.
    if (hello.formed !== null && this.replica === null && this.#log?.isForming === false) this.#log.startReplica()
  }

  // The keeper with the first name forms the log once all others have reported that they have none.
  async #formIfFirst (): Promise<void> {
    const log = this.#log
    if (log === null || log.replica !== null || log.isForming) return
    const names = this.#settings.keepers.map(keeper => keeper.id).sort()
    if (names[0] !== this.#settings.id) return
    const hellos = this.#listOtherKeepers().map(keeper => this.#hellos.get(keeper.id))
    const voters = [log.id]
    for (const hello of hellos) {
      if (hello === undefined || hello.formed !== null) return
      voters.push(hello.replica)
    }
    await this.#form({ voters, learners: [] })
    for (const { host, port } of this.#listOtherKeepers()) {
      this.#links.find(host, port)?.send({ type: 'form', members: { voters, learners: [] } })
    }
  }

  async #form (members: Members): Promise<void> {
    if (await this.#log?.form(members) === true) this.#dependencies.log.info('log-formed', { voters: members.voters.join(',') })
  }

  async #openLog (): Promise<KeeperLog> {
    const { log, noteFatal } = this.#dependencies
    const { data, id, heartbeatMs, electionMs, snapshotEvery } = this.#settings
    return await KeeperLog.open({ folder: data, name: id }, {
      timing: { heartbeatMs, electionMs },
      snapshotEvery,
      send: (to, message) => this.#sendRaft(to, message),
      noteRole: (role, term, leader) => log.info('role', { role, term, leader }),
      noteViolation: (rule, detail) => this.#noteViolation(rule, detail),
      noteApplied: () => this.#pushRevisions(),
      noteDiskFault: error => {
        log.error('disk-failed', { error: error.message })
        noteFatal(error)
      }
    })
  }

  #sendRaft (to: ReplicaId, message: Extract<BoxMessage, { type: 'raft' }>['message']): void {
    const name = getKeeperName(to)
    const keeper = this.#settings.keepers.find(candidate => candidate.id === name)
    const from = this.#log?.id
    if (keeper === undefined || from === undefined) return
    this.#links.find(keeper.host, keeper.port)?.send({ type: 'raft', from, to, message })
  }

  // Messages.

  #receive (link: Link<BoxMessage>, message: BoxMessage): void {
    switch (message.type) {
      case 'raft':
        if (this.#isKeeper(link.peer)) this.#log?.receive(message.from, message.to, message.message)
        return
      case 'keeper-hello':
        if (message.name === link.peer && this.#isKeeper(link.peer)) this.#noteHello(message.name, message)
        return
      case 'form':
        if (this.#isKeeper(link.peer)) void this.#form(message.members)
        return
      case 'call': return void this.#reply(link, message.call, message.body)
      case 'watch': return this.#watch(link, message.revision, message.status)
      default: this.#noteViolation('known-messages', message.type)
    }
  }

  #isKeeper (name: string): boolean {
    return this.#settings.keepers.some(keeper => keeper.id === name)
  }

  async #reply (link: Link<BoxMessage>, call: number, body: KeeperCall): Promise<void> {
    let reply: KeeperReply
    try {
      reply = await this.#execute(body)
    } catch (error) {
      reply = { type: 'fault', text: (error as Error).message }
    }
    link.send({ type: 'reply', call, body: reply })
  }

  async #execute (body: KeeperCall): Promise<KeeperReply> {
    switch (body.type) {
      case 'command': return await this.#propose(body.command)
      case 'plan': return await this.#plan(body)
      case 'repair': return await this.#repair(body.replace, body.id)
      case 'document': return await this.#readDocument()
      case 'status': return { type: 'status', status: this.#composeStatus() }
    }
  }

  #redirect (): KeeperReply {
    const leader = this.#log?.leader ?? null
    const name = leader === null ? null : getKeeperName(leader)
    return { type: 'redirect', leader: name === this.#settings.id ? null : name }
  }

  async #propose (command: KeeperCommand): Promise<KeeperReply> {
    if (this.#log?.isLeader !== true) return this.#redirect()
    const outcome = await this.#log.propose(command)
    switch (outcome.type) {
      case 'applied': return { type: 'result', result: outcome.result as Extract<KeeperReply, { type: 'result' }>['result'] }
      case 'rejected': return this.#redirect()
      case 'lost': return { type: 'lost' }
    }
  }

  async #plan (body: Extract<KeeperCall, { type: 'plan' }>): Promise<KeeperReply> {
    const parsed = parseIntent(body.intent)
    if (!parsed.ok) return { type: 'mistakes', mistakes: parsed.mistakes.map(mistake => formatMistake('intent', mistake)) }
    if (this.#log?.isLeader !== true || !await this.#log.read()) return this.#redirect()
    const { document, revision } = this.state.config
    const changes = planIntent(parsed.value, document)
    const mistakes = checkDocument(applyChanges(document, changes))
    if (mistakes.length > 0) return { type: 'mistakes', mistakes: mistakes.map(mistake => formatMistake('intent', mistake)) }
    return await this.#propose({ part: 'config', command: { type: 'plan', id: body.id, base: revision, changes } })
  }

  async #readDocument (): Promise<KeeperReply> {
    if (this.#log?.isLeader !== true || !await this.#log.read()) return this.#redirect()
    const { document, revision } = this.state.config
    return { type: 'document', document, revision }
  }

  // Repair: replaces the old replica of a keeper whose disk was replaced.

  async #repair (name: string, id: CommandId): Promise<KeeperReply> {
    const log = this.#log
    // A new leader may not have applied what its predecessor recorded.
    if (log?.isLeader !== true || !await log.read() || log.replica === null) return this.#redirect()
    const { replica } = log
    const state = this.state.repairs.find(id)
    if (state === 'finished') return { type: 'repaired', members: replica.members }
    // The keeper under repair may lead since it became a voter; it receives no hello of its own.
    const findFreshReplica = (): ReplicaId | undefined => name === this.#settings.id ? replica.id : this.#hellos.get(name)?.replica
    const fresh = findFreshReplica()
    if (fresh === undefined) return { type: 'fault', text: `no message from keeper ${name} has been received` }
    const { keeperUnderRepair } = this.#repairs
    if (keeperUnderRepair !== null && keeperUnderRepair !== name) return { type: 'fault', text: `keeper ${keeperUnderRepair} is being repaired` }
    const isRepaired = replica.members.voters.every(id => id === fresh || getKeeperName(id) !== name) && replica.members.voters.includes(fresh)
    if (keeperUnderRepair === null && isRepaired && state === undefined) return { type: 'fault', text: `keeper ${name} is already a member with its current disk` }
    const outcome = await this.#repairs.repair(log, replica, name, id, () => findFreshReplica() ?? fresh)
    switch (outcome.type) {
      case 'repaired': return outcome
      case 'not-leader': return this.#redirect()
      case 'failed': return { type: 'fault', text: outcome.text }
    }
  }

  // Distribution of the configuration.

  #watch (link: Link<BoxMessage>, revision: number, status: BoxStatus | null): void {
    this.#watchers.set(link, { revision })
    this.#recordBoxStatus(link.peer, revision, status)
    sendConfigUpdate(link, this.state.config, revision)
  }

  #pushRevisions (): void {
    const { revision } = this.state.config
    if (revision !== this.#loggedRevision) this.#dependencies.log.info('accepted', { revision })
    this.#loggedRevision = revision
    for (const [link, watcher] of this.#watchers) {
      if (watcher.revision >= this.state.config.revision) continue
      sendConfigUpdate(link, this.state.config, watcher.revision)
      watcher.revision = this.state.config.revision
    }
  }

  #recordBoxStatus (id: string, revision: number, status: BoxStatus | null): void {
    const latest = status ?? this.#boxStatuses.get(id)?.status
    if (latest !== undefined) this.#boxStatuses.set(id, { status: { ...latest, revision }, at: performance.now() })
  }

  #evictStaleStatuses (): void {
    const now = performance.now()
    for (const [id, { at }] of this.#boxStatuses) {
      if (now - at > boxStatusRetentionMs) this.#boxStatuses.delete(id)
    }
  }

  // Status for operators.

  #composeStatus (): KeeperStatus {
    const { replica } = this
    const members = replica?.members ?? { voters: [], learners: [] }
    const matches = replica?.node.matches ?? new Map<ReplicaId, number>()
    const waiting = [...this.#hellos.values()].map(hello => hello.replica).filter(id => !members.voters.includes(id))
    return {
      id: this.#settings.id,
      zone: this.#settings.zone,
      replica: this.#log?.id ?? '' as ReplicaId,
      role: replica?.node.role ?? 'unformed',
      term: replica?.node.term ?? 0,
      leader: replica?.leader ?? null,
      members,
      commit: replica?.node.commitIndex ?? 0,
      matches: Object.fromEntries(matches),
      revision: this.state.config.revision,
      claims: this.state.claims.size,
      spare: countSpareVoters(members, matches, replica?.node.commitIndex ?? 0),
      waiting: members.voters.length > 0 ? waiting : [],
      boxes: [...this.#boxStatuses.values()].map(entry => entry.status)
    }
  }

  #noteViolation (rule: string, detail: string): void {
    this.#dependencies.metrics.count('violation', { rule })
    this.#dependencies.log.error('violation', { rule, detail })
  }

  #noteLinkFault (fault: string, peer: string): void {
    this.#dependencies.metrics.count('link-fault', { fault })
    this.#dependencies.log.warn('link-fault', { fault, peer })
  }
}
