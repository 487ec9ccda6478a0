/** Simulation of scheduling policies in virtual time. */
export * from './experiment.js'
export { Simulation } from './simulation.js'
export { scenarios, longBurst } from './scenario.js'
export { computeCapacity, userProfiles } from './user-profile.js'
