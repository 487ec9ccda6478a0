/** The registry program: stores the routing document and the endpoint directory. */
export { RegistryBox } from './registry-box.js'
export type { RegistryDependencies } from './registry-dependencies.js'
export { isSavedPrompt } from './saved-item-guards.js'
export { PromptBatchSender, splitIntoBatches } from './prompt-batches.js'
export { EndpointTracker } from './endpoint-tracker.js'
export { LoadHub } from './load-hub.js'
export { UsageReporter } from './usage-reporter.js'
export { createIntake } from './registry-dependencies.js'
