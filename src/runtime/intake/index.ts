/** What a process takes in from clients: bodies of requests. */
export { discardBody, readBody } from './request-body.js'
export type { BodyOutcome } from './request-body.js'
