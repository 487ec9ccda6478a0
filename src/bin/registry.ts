#!/usr/bin/env node
/** `wrenlane-registry`: keeps the routing document and the directory of endpoints, in the product's own dialect. */
import { nativeDialect } from '../protocol/index.js'
import { createProgram } from './program.js'
import { runRegistry } from './route-program.js'

createProgram('wrenlane-registry <settings>', 'Keeps routes and endpoints; settings is a TOML file.')
  .action((path: string) => runRegistry(nativeDialect, path))
  .parse(process.argv)
