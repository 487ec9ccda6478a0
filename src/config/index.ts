/** Settings and intents: what TOML files may hold, checked. */
export * from './field.js'
export * from './mistake.js'
export { checkTable, describe } from './check-table.js'
export { findKeyLines, findLine } from './key-lines.js'
export { intentFields } from './intent-fields.js'
export * from './configuration.js'
export * from './intent.js'
export * from './settings.js'
