/** The gateway: routes callers' requests to endpoints by a routing document. */
export { GatewayBox } from './gateway-box.js'
export { CallerReturn } from './caller-return.js'
export { LoadReporter } from './load-reporter.js'
export type { GatewayDependencies } from './gateway-dependencies.js'
export { classifySend, computeMaxSilenceMs, mayRetryAfter } from './retry-rules.js'
export { RetryPolicy } from './retry-policy.js'
export type { NextStep, SendOutcome } from './retry-policy.js'
