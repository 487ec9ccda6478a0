#!/usr/bin/env node
/** `wrenlane-gateway`: an entry box that routes by a document, in the product's own dialect. */
import './early-signals.js'

// Loaded after the signal has its handler: loading takes some hundred ms.
const { nativeDialect } = await import('../protocol/index.js')
const { createProgram } = await import('./program.js')
const { runGateway } = await import('./route-program.js')

createProgram('wrenlane-gateway <settings>', 'Routes callers by a document; settings is a TOML file.')
  .action((path: string) => runGateway(nativeDialect, path))
  .parse(process.argv)
