/** Entry boxes and keepers: the parts that own sockets, timers and state. */
export { EntryBox } from './entry-box.js'
export { KeeperBox } from './keeper-box.js'
export { KeeperClient } from './keeper-client.js'
export type { CallOutcome } from './keeper-client.js'
export { ConfigFollower } from './config-follower.js'
export { ServiceExchange } from './service-exchange.js'
export { RequestError } from './request-error.js'
