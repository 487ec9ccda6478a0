import { isHeaderText } from '../header-text.js'
import type { RoutingDocument } from './route.js'

/** Validates a well-formed document before it is activated; returns all errors, empty if it is valid. */
export function findDocumentMistakes (document: RoutingDocument): string[] {
  return [...findRouteMistakes(document), ...findKeyMistakes(document), ...findTextMistakes(document)]
}

function findRouteMistakes ({ routes, services }: RoutingDocument): string[] {
  const mistakes: string[] = []
  const known = new Set<string>(services.map(service => service.name))
  if (known.size < services.length) mistakes.push('two services have the same name')
  const routesByAddress = new Map<string, string>()
  for (const route of routes) {
    for (const { service } of route.services) {
      if (!known.has(service)) mistakes.push(`route ${route.name} names the unknown service ${service}`)
    }
    const address = `${route.host.toLowerCase()} ${route.prefix}`
    const other = routesByAddress.get(address)
    if (other !== undefined) mistakes.push(`routes ${other} and ${route.name} have the same host and prefix`)
    routesByAddress.set(address, route.name)
    const weight = route.services.reduce((sum, one) => sum + one.weight, 0)
    if (!(weight > 0)) mistakes.push(`the weights of route ${route.name} sum to ${weight}`)
    if (route.services.some(one => one.weight < 0)) mistakes.push(`route ${route.name} has a weight below 0`)
    if (!(route.timeoutMs > 0)) mistakes.push(`the time-out of route ${route.name} is ${route.timeoutMs} ms`)
  }
  return mistakes
}

// Names of workspaces go to endpoints in headers, and keys come in them.
function findTextMistakes ({ workspaces }: RoutingDocument): string[] {
  return (workspaces ?? []).flatMap((workspace, i) => [
    ...isHeaderText(workspace.name) ? [] : [`the name of workspace ${i} can't be sent in a header: ${JSON.stringify(workspace.name)}`],
    ...workspace.keys.every(isHeaderText) ? [] : [`a key of workspace ${JSON.stringify(workspace.name)} can't be sent in a header`]
  ])
}

function findKeyMistakes ({ workspaces }: RoutingDocument): string[] {
  const mistakes: string[] = []
  const owners = new Map<string, string>()
  for (const { name, keys } of workspaces ?? []) {
    for (const key of keys) {
      const owner = owners.get(key)
      if (owner !== undefined && owner !== name) mistakes.push(`workspaces ${owner} and ${name} share a key`)
      owners.set(key, name)
    }
  }
  return mistakes
}
