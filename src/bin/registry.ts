#!/usr/bin/env node
/** `wrenlane-registry`: stores the routing document and the list of registered endpoints, in the native dialect. */
import './early-signals.js'

// Loaded after the SIGHUP handler is installed, as loading takes a few hundred ms.
const { nativeDialect } = await import('../protocol/index.js')
const { createProgram } = await import('./program.js')
const { runRegistry } = await import('./route-program.js')

createProgram('wrenlane-registry <settings>', 'Stores the routing document and the registered endpoints; <settings> is a TOML file.')
  .action((path: string) => runRegistry(nativeDialect, path))
  .parse(process.argv)
