/** What every process of the product stands on: tasks, logs, metrics, time. */
export { Inbox } from './inbox.js'
export { HybridClock, formatTime } from './hybrid-clock.js'
export type { HybridTime } from './hybrid-clock.js'
export { EventLog, formatEvent, formatValue, openStandardLog } from './event-log.js'
export type { EventFields, EventValue } from './event-log.js'
export { Metrics } from './metrics.js'
export type { MetricsTarget } from './metrics.js'
export { createRandom } from './random.js'
