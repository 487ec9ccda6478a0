import { entryFields, gatewayFields, intentFields, keeperFields, registryFields, routeEvents, standinFields } from '../config/index.js'
import { formatErrors, formatFields } from './tables.js'

const errorsHead = `# Errors

Every answer carries \`x-wrenlane-request-id\` and, where something was asked of an endpoint or refused, \`x-wrenlane-outcome\`:
\`not-run\` (no byte of it was written towards any endpoint, and none will be), \`run\`, or \`unknown\`.
A request that was sent to an endpoint and then refused is \`unknown\` whatever its kind. Errors have the shape of the
published protocol: \`{"error": {"message", "type", "param", "code", "outcome", "request_id"}}\`, where \`code\` is the kind.
\`Retry-After\` counts whole seconds; \`retry-after-ms\` beside it is finer. This page is written by \`npm run docs\`.
`

const configHead = `# Settings and intents

Every file is TOML. \`wrenlane check FILE\` shows all its mistakes with their lines. This page is written by \`npm run docs\`.
`

const logsHead = `# Logs of gateways and registries

One line of key=value pairs for each event on standard output: \`hlc\` (hybrid logical time: ms since 1970 and a counter),
\`level\`, \`box\`, \`event\`, then the fields below. Times are in ms, sizes in bytes. \`-\` stands for nothing. At most
\`logLinesPerSecond\` lines a second; ordinary successes are left out first, and \`lines-left-out\` counts what is missing. Writing
never holds the process up. \`wrenlane timeline\` merges the logs of all boxes. This page is written by \`npm run docs\`.
`

function formatEvents (): string {
  return Object.entries(routeEvents).map(([name, { about, fields }]) => {
    const rows = Object.entries(fields).map(([field, meaning]) => `- \`${field}\`: ${meaning}`)
    return [`## ${name}`, '', about, ...(rows.length > 0 ? ['', ...rows] : []), ''].join('\n')
  }).join('\n')
}

/** The pages that are made from the code, by path. */
export function composePages (): ReadonlyMap<string, string> {
  const sections = [
    ['Intents: `wrenlane plan -f FILE`', formatFields(intentFields)],
    ['Settings of `wrenlane-entry`', formatFields(entryFields)],
    ['Settings of `wrenlane-keeper`', formatFields(keeperFields)],
    ['Settings of `wrenlane-gateway`', formatFields(gatewayFields)],
    ['Settings of `wrenlane-registry`', formatFields(registryFields)],
    ['Settings of `wrenlane-standin`', formatFields(standinFields)]
  ]
  return new Map([
    ['docs/LOGS.md', `${logsHead}\n${formatEvents()}`],
    ['docs/ERRORS.md', `${errorsHead}\n${formatErrors()}\n`],
    ['docs/CONFIG.md', `${configHead}\n${sections.map(([title, table]) => `## ${title}\n\n${table}\n`).join('\n')}`]
  ])
}
