// Fills the templates of the deploy file as DEPLOY.md describes them: gaps, sections and inverted sections.

function look (stack, name) {
  if (name === '.') return stack[stack.length - 1].value
  if (name === '@') return stack[stack.length - 1].key
  for (let at = stack.length - 1; at >= 0; at--) {
    let value = stack[at].value
    for (const key of name.split('.')) value = value === null || typeof value !== 'object' ? undefined : value[key]
    if (value !== undefined) return value
  }
  return undefined
}

function format (value) {
  if (value === undefined || value === null) return ''
  if (Array.isArray(value)) return value.join(',')
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}

export function fillTemplate (text, fields) { return fill(text, [{ value: fields }]) }

function fill (text, stack) {
  const sections = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g
  const expanded = text.replace(sections, (_, sign, name, inner) => {
    const value = look(stack, name)
    const isGiven = value !== undefined && value !== null && value !== false
    if (sign === '^') return isGiven ? '' : fill(inner, stack)
    if (!isGiven) return ''
    if (typeof value !== 'object') return fill(inner, stack)
    const entries = Array.isArray(value) ? value.map((one, i) => [i, one]) : Object.entries(value)
    return entries.map(([key, one], i) => fill(inner.replaceAll('{{,}}', i < entries.length - 1 ? ',' : ''), [...stack, { key, value: one }])).join('')
  })
  return expanded.replace(/\{\{([^#^/}]+)\}\}/g, (_, name) => name.endsWith('|json') ? JSON.stringify(look(stack, name.slice(0, -5)) ?? null) : format(look(stack, name)))
}
