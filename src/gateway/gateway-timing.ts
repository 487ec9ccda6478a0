/** How often a gateway looks after its parts, and how it stops. */

/** How often exchanges look at the time, ms: well within what a late final answer may be late. */
export const sweepIntervalMs = 40
/** A box with routes but no endpoint yet calls itself ready after this all the same, ms. */
export const readyWithoutEndpointsMs = 1500
/** After readiness goes red, callers may still be sent here for so long, ms: two questions of the balancer, and a connection on its way. */
export const balancerLagMs = 2600
/** How often the log tells what is believed of the engines, ms. */
export const beliefsIntervalMs = 2000
/** Gateways share the retry budget; one that nobody counted for so long no longer does, ms. */
export const gatewayCountTtlMs = 20_000
/** The box stops once nothing has been in flight for so long, ms. */
export const idleMs = 400
/** Time kept at the end of a planned stop to end what is left, ms. */
export const cutReserveMs = 300
