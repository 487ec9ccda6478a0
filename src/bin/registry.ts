#!/usr/bin/env node
/** `wrenlane-registry`: keeps the routing document and the directory of endpoints, in the product's own dialect. */
import './early-signals.js'

// Loaded after the signal has its handler: loading takes some hundred ms.
const { nativeDialect } = await import('../protocol/index.js')
const { createProgram } = await import('./program.js')
const { runRegistry } = await import('./route-program.js')

createProgram('wrenlane-registry <settings>', 'Keeps routes and endpoints; settings is a TOML file.')
  .action((path: string) => runRegistry(nativeDialect, path))
  .parse(process.argv)
