/** Timing of a gateway's periodic work and of its shutdown. */

/** How often the time-outs of exchanges are checked, ms: well within the delay allowed for a final answer after its deadline. */
export const sweepIntervalMs = 40
/** A box that has routes but no endpoint reports ready after this time, ms. */
export const readyWithoutEndpointsMs = 1500
/** How long callers may still arrive after readiness turns false, ms: two checks by the load balancer, and a connection on its way. */
export const balancerLagMs = 2600
/** How often the estimates about the engines are logged, ms. */
export const beliefsIntervalMs = 2000
/** Gateways share the retry budget; this one uses the highest gateway count reported within this time, ms. */
export const gatewayCountTtlMs = 20_000
/** A draining box stops once nothing has been in flight for this long, ms. */
export const idleMs = 400
/** Part of the drain time reserved for the final answers to the remaining requests, ms, and for how long a stopping box waits at most until they are written. */
export const cutReserveMs = 300
export const flushMs = 100
