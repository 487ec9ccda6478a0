#!/usr/bin/env node
/** `wrenlane-gateway`: a gateway that routes requests by the routing document, in the native dialect. */
import './early-signals.js'

// Loaded after the SIGHUP handler is installed, as loading takes a few hundred ms.
const { nativeDialect } = await import('../protocol/index.js')
const { createProgram } = await import('./program.js')
const { runGateway } = await import('./route-program.js')

createProgram('wrenlane-gateway <settings>', 'Routes requests by the routing document; <settings> is a TOML file.')
  .action((path: string) => runGateway(nativeDialect, path))
  .parse(process.argv)
