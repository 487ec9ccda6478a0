/** The gateway: routes callers' requests to endpoints by a routing document. */
export { GatewayBox } from './gateway-box.js'
export { LoadReporter } from './load-reporter.js'
export type { GatewaySurroundings } from './gateway-surroundings.js'
export { classifySend as allowSend, computeMaxSilenceMs as limitSilence, mayRetryAfter as mayGoOn } from './retry-rules.js'
export { RetryPolicy as SendCourse } from './retry-policy.js'
export type { NextStep, SendOutcome as SendEnd } from './retry-policy.js'
