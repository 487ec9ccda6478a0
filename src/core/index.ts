/**
 * The decision core. Pure: it has no socket, clock or randomness of its own.
 */
export * from './ids.js'
export * from './error-kind.js'
export * from './request-class.js'
export * from './submission.js'
export * from './scheduler-config.js'
export * from './scheduler-event.js'
export * from './scheduler-action.js'
export * from './shard-load.js'
export { Scheduler } from './scheduler.js'
export { LengthEstimate } from './length-estimate.js'
export { ClassQueue } from './class-queue.js'
