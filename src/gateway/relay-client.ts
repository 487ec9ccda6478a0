/**
 * The relays of this box: other gateways that forward requests to endpoints which this box doesn't reach itself. They are
 * requested from a registry only while they are needed.
 */
import { Agent, request as httpRequest } from 'node:http'
import type { CheckOutcome, EndpointId } from '../core/index.js'
import { composeRelayHeaders, readRelayFailure } from '../protocol/index.js'
import type { RelayAddress } from '../protocol/index.js'
import { EndpointAgent } from './endpoint-agent.js'

/** What the client needs from its box. */
export interface RelayClientHost {
  readonly secret: string | null
  now (): number
  /** A random number, at least 0 and less than 1. */
  draw (): number
  /** Requests relays from a registry; false if none is reachable. */
  askRelays (): boolean
}

/** A relay in use. */
export interface Relay {
  readonly address: RelayAddress
  /** Requests of this box in flight there. */
  inFlight: number
  failedUntil: number
  failures: number
}

/** How often relays are requested while they are needed, ms: one that drains is no longer listed after this. */
const refreshIntervalMs = 1000
/** How often they are requested while none is known, ms. */
const firstRequestIntervalMs = 100
/** A relay that failed is avoided for this long, ms; doubles with each failure. */
const minAvoidMs = 250
const maxAvoidMs = 2000
/** Time-out of a check, ms: two connections of the relay, and the way to it and back. */
const checkTimeoutMs = 900
/** How long a check waits for the list of relays, ms. */
const relaysTimeoutMs = 150
/** Number of relays that are asked in one check: one whose own path has just been lost can't tell. */
const relaysPerCheck = 2

export class RelayClient {
  readonly agent: Agent = new EndpointAgent()
  #host: RelayClientHost
  #relays: Relay[] = []
  #requestedAt = -Infinity
  /** Checks that wait for the list of relays. */
  #waiting: (() => void)[] = []

  constructor (host: RelayClientHost) {
    this.#host = host
  }

  /** Requests relays if the known ones are out of date; called while they are needed. */
  refresh (): void {
    const now = this.#host.now()
    if (now - this.#requestedAt < (this.#relays.length === 0 ? firstRequestIntervalMs : refreshIntervalMs)) return
    if (this.#host.askRelays()) this.#requestedAt = now
  }

  /** Sets the relays that a registry listed; those that are still listed keep their state. */
  setRelays (addresses: readonly RelayAddress[]): void {
    this.#relays = addresses.map(address => this.#relays.find(known => isSame(known.address, address)) ?? { address, inFlight: 0, failedUntil: -Infinity, failures: 0 })
    this.#resumeChecks()
  }

  // Continues once the requested list of relays has arrived, or after a time-out.
  #awaitRelays (resume: () => void): void {
    this.refresh()
    this.#waiting.push(resume)
    if (this.#waiting.length === 1) setTimeout(() => this.#resumeChecks(), relaysTimeoutMs)
  }

  #resumeChecks (): void {
    const waiting = this.#waiting
    this.#waiting = []
    for (const resume of waiting) resume()
  }

  /** Chooses the relay with the fewest requests of this box; null if none is available. */
  choose (except: readonly Relay[] = []): Relay | null {
    const now = this.#host.now()
    const available = this.#relays.filter(relay => relay.failedUntil <= now && !except.includes(relay))
    const least = Math.min(...available.map(({ inFlight }) => inFlight))
    const best = available.filter(({ inFlight }) => inFlight === least)
    return best[Math.floor(this.#host.draw() * best.length)] ?? null
  }

  /** Notes that a relay forwarded a request. */
  noteWorking (relay: Relay): void { relay.failures = 0 }

  /** Notes that a relay could not be reached, or refused. */
  noteFailed (relay: Relay): void {
    relay.failedUntil = this.#host.now() + Math.min(maxAvoidMs, minAvoidMs * 2 ** relay.failures)
    relay.failures += 1
  }

  /** Checks whether a relay can connect to an endpoint; `report` is called once. */
  check (endpoint: EndpointId, report: (outcome: CheckOutcome) => void): void {
    const check = (): void => this.#checkAt(endpoint, [], report)
    if (this.choose() === null) this.#awaitRelays(check)
    else check()
  }

  close (): void { this.agent.destroy() }

  #checkAt (endpoint: EndpointId, asked: readonly Relay[], report: (outcome: CheckOutcome) => void): void {
    const relay = asked.length < relaysPerCheck ? this.choose(asked) : null
    if (relay === null) return report('none')
    const { host, port } = relay.address
    const headers = ['Host', `${host}:${port}`, ...composeRelayHeaders('check', endpoint, this.#host.secret, Date.now())]
    const call = httpRequest({ host, port, agent: this.agent, method: 'GET', path: '/', headers: headers as unknown as NodeJS.Dict<string>, timeout: checkTimeoutMs })
    let outcome: CheckOutcome = 'none'
    call.on('timeout', () => call.destroy())
    call.on('error', () => {})
    call.on('response', answer => {
      answer.resume()
      outcome = readOutcome(answer.statusCode ?? 0, readRelayFailure(answer.headers))
    })
    call.on('close', () => {
      if (outcome !== 'none') return report(outcome)
      this.noteFailed(relay)
      this.#checkAt(endpoint, [...asked, relay], report)
    })
    call.end()
  }
}

function readOutcome (status: number, failure: ReturnType<typeof readRelayFailure>): CheckOutcome {
  if (failure === null) return status === 204 ? 'reached' : 'none'
  return failure === 'unreachable' ? 'unreachable' : 'none'
}

function isSame (a: RelayAddress, b: RelayAddress): boolean { return a.box === b.box && a.host === b.host && a.port === b.port }
