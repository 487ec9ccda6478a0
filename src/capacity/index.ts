/** Measured slopes, and what they come to at the size to design for. */
export * from './fit.js'
export * from './slope.js'
export * from './entry-samples.js'
export * from './measure-core.js'
export * from './measure-keeper.js'
export * from './measure-spread.js'
export * from './page.js'
export { target } from './target.js'
