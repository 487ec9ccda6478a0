/**
 * The evidence that a request crashes endpoints: how unlikely it is that it ran
 * during all of these crashes by chance. A run of 50 ms that coincides with a
 * crash while each endpoint crashes once a minute is strong evidence; a run of
 * five seconds, or one during a rack failure, is weak. Crashes without the request
 * give the base rate.
 */
import type { Fingerprint } from '../ids.js'
import { hasUnansweredRun } from './crash-history.js'
import { isPartKey } from './part-key.js'
import type { KnownCrash } from './crash-history.js'

/** The evidence against a request. */
export interface Evidence {
  /** Number of crashes while it was running. */
  readonly ends: number
  /** Negative natural logarithm of the probability that they are coincidences. */
  readonly weight: number
  /** True if it is considered the cause of the crashes. */
  readonly isHarmful: boolean
}

/** Minimum number of crashes: two may come from a rack, or from one faulty endpoint and its restart. */
const minCrashes = 3
/** Minimum number of crashes for a part of prompts: a few of the requests with one harmful part may share another by chance. */
const minPartCrashes = 4
/** Probability of e^-12, six in a million: among a thousand retried requests at failing endpoints, none is misclassified. */
const minWeight = 12
/** Upper bound on the weight of one crash, so that no single coincidence decides. */
const maxWeightPerCrash = 6
/** Crash rate of an endpoint that is assumed without other crashes, per ms: once a minute, far above the actual rate. */
const minCrashRatePerMs = 1 / 60_000
/** Windows around a crash in which other crashes are counted, ms: a rack failure, a roll-out, and the whole history. */
const windowsMs = [1000, 10_000, 600_000]
/** Crashes within this time count as one against a part of prompts, ms: boxes detect the crash of a rack at different times. */
const togetherMs = 300
/** Shorter runs count as this long, ms: durations are not measured more accurately. */
const minRunMs = 5
/** From this number of crashes, a request counts as harmful with less weight, and even if another ran during the same crashes: it has never been answered in between. */
const manyCrashes = 6
/** Minimum weight from `manyCrashes` on. Probability of e^-8, three in ten thousand: a request that queues for seconds at busy endpoints gains little weight per crash. */
const minWeightOfMany = 8

/**
 * `unknown`: no request that lacks the part was answered lately, so its crashes say nothing; `doubtful`: one was, but other software
 * has answered the part lately; `suspicious`: one was, and none with the part.
 */
export type PartStanding = 'unknown' | 'doubtful' | 'suspicious'

/** What the evidence against a request or a part of prompts is weighed with. */
export interface EvidenceContext {
  readonly crashes: readonly KnownCrash[]
  /** Number of usable endpoints of the service; called only if there are enough crashes. */
  countEndpoints (): number
  /** What is known of answers to requests of the service, with and without a part. */
  judgePart (part: Fingerprint): PartStanding
}

/** Computes the evidence against a request, or a part of prompts. */
export function weighEvidence (fingerprint: Fingerprint, context: EvidenceContext): Evidence {
  const { crashes } = context
  const suspected = crashes.filter(({ runs }) => hasUnansweredRun(runs, fingerprint))
  const isPart = isPartKey(fingerprint)
  if (suspected.length < minCrashes) return { ends: suspected.length, weight: 0, isHarmful: false }
  const counted = isPart ? listSeparate(listUnexplained(fingerprint, suspected, context)) : suspected
  if (counted.length < (isPart ? findMinCrashes(context.judgePart(fingerprint)) : minCrashes)) return { ends: suspected.length, weight: 0, isHarmful: false }
  const endpoints = Math.max(1, context.countEndpoints())
  const weight = counted.reduce((sum, crash) => sum + weighCrash(crash, fingerprint, crashes, endpoints), 0)
  const isHarmful = weight >= (suspected.length < manyCrashes ? minWeight : minWeightOfMany) && !hasOtherCause(fingerprint, suspected, crashes)
  return { ends: suspected.length, weight, isHarmful }
}

// Crashes at which no other part ran that was at more of them, or at as many while they are few.
function listUnexplained (part: Fingerprint, suspected: readonly KnownCrash[], { crashes, judgePart }: EvidenceContext): readonly KnownCrash[] {
  const countCrashes = (other: Fingerprint): number => crashes.filter(({ runs }) => hasUnansweredRun(runs, other)).length
  const others = new Set(suspected.flatMap(({ runs }) => [...runs.keys()].filter(other => other !== part && isPartKey(other))))
  const stronger = [...others].filter(other => {
    const count = countCrashes(other)
    return (count > suspected.length || (count === suspected.length && count < manyCrashes)) && judgePart(other) !== 'unknown'
  })
  return suspected.filter(({ runs }) => !stronger.some(other => hasUnansweredRun(runs, other)))
}

function findMinCrashes (standing: PartStanding): number {
  switch (standing) {
    case 'unknown': return Infinity
    case 'doubtful': return manyCrashes
    case 'suspicious': return minPartCrashes
  }
}

// Many requests share a part, so endpoints that end together, as a rack does, count once.
function listSeparate (crashes: readonly KnownCrash[]): KnownCrash[] {
  const separate: KnownCrash[] = []
  for (const crash of [...crashes].sort((a, b) => a.at - b.at)) {
    const last = separate.at(-1)
    if (last === undefined || crash.at - last.at > togetherMs) separate.push(crash)
  }
  return separate
}

function weighCrash (crash: KnownCrash, fingerprint: Fingerprint, crashes: readonly KnownCrash[], endpoints: number): number {
  const others = crashes.filter(other => other.service === crash.service && !hasUnansweredRun(other.runs, fingerprint))
  const sameEndpoint = others.filter(other => other.endpoint === crash.endpoint)
  const rate = Math.max(minCrashRatePerMs, measureCrashRate(crash, others) / endpoints, measureCrashRate(crash, sameEndpoint))
  const ms = Math.max(minRunMs, crash.runs.get(fingerprint) ?? 0)
  return Math.min(maxWeightPerCrash, -Math.log(1 - Math.exp(-rate * ms)))
}

// The highest crash rate around a crash over all windows, per ms.
function measureCrashRate ({ at }: KnownCrash, others: readonly KnownCrash[]): number {
  return Math.max(...windowsMs.map(windowMs => others.filter(other => Math.abs(other.at - at) <= windowMs).length / (2 * windowMs)))
}

// True if another request was running during all of these crashes and during more, or during the same ones while they are few.
// Parts are no other cause: those of a request ran wherever it did, and those of others were weighed before.
function hasOtherCause (fingerprint: Fingerprint, suspected: readonly KnownCrash[], crashes: readonly KnownCrash[]): boolean {
  const candidates = [...suspected[0].runs.keys()].filter(other => other !== fingerprint && !isPartKey(other) && suspected.every(({ runs }) => hasUnansweredRun(runs, other)))
  return candidates.some(other => {
    const count = crashes.filter(({ runs }) => hasUnansweredRun(runs, other)).length
    return count > suspected.length || suspected.length < manyCrashes
  })
}
