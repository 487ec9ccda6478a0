#!/usr/bin/env node
/** `wrenlane-gateway`: an entry box that routes by a document, in the product's own dialect. */
import { nativeDialect } from '../protocol/index.js'
import { createProgram } from './program.js'
import { runGateway } from './route-program.js'

createProgram('wrenlane-gateway <settings>', 'Routes callers by a document; settings is a TOML file.')
  .action((path: string) => runGateway(nativeDialect, path))
  .parse(process.argv)
