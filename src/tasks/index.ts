/** The tasks of the programs: they own sockets, clocks and state. */
export { EntryBox } from './entry-box.js'
export { KeeperBox } from './keeper-box.js'
export { KeeperClient } from './keeper-client.js'
export type { CallEnd } from './keeper-client.js'
export { ConfigFollower } from './config-follower.js'
export { ServiceExchange } from './service-exchange.js'
export { Fault } from './fault.js'
