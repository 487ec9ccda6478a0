#!/usr/bin/env node
/** A gateway of a soak run that reaches endpoints through proxies: `soak-gateway SETTINGS HOST` connects to HOST in place of an endpoint's host, at the same port. */
import './early-signals.js'
import { connect } from 'node:net'
import type { TcpNetConnectOpts } from 'node:net'

const { nativeDialect } = await import('../protocol/index.js')
const { runGateway } = await import('./route-program.js')

const [path, host] = process.argv.slice(2)
runGateway(nativeDialect, path, options => connect({ ...options as TcpNetConnectOpts, host }))
