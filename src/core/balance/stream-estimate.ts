import type { EndpointView } from './endpoint-view.js'
import type { EngineStats } from './engine-stats.js'
import type { RequestProfile } from './work.js'

/** Factor by which a stream may take longer than recent ones show. */
const margin = 1.25

/** Time within which a stream that is sent now to one of the usable endpoints has ended, ms; null if its length isn't known. */
export function estimateStreamDuration ({ streamPace, firstEvent }: EngineStats, usable: readonly EndpointView[], { cost, priority }: RequestProfile, at: number): number | null {
  const writingMs = cost === null ? null : streamPace.estimateMs(cost.maxTokens, at)
  if (cost === null || writingMs === null || usable.length === 0) return null
  const readingMs = Math.min(...usable.map(view => (view.countTokensAhead(priority, at) + cost.promptTokens) * view.readMsPerToken))
  return (firstEvent.startMs + readingMs + writingMs) * margin
}
