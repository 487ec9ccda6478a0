/** Fills the templates of the deploy file as DEPLOY.md describes them: gaps, sections and inverted sections. */
const tag = /\{\{([#^/]?)([^{}]+)\}\}/g

/** Fills `text` from `fields`. */
export function fillTemplate (text, fields) {
  const tokens = []
  let end = 0
  for (const match of text.matchAll(tag)) {
    tokens.push({ text: text.slice(end, match.index) }, { sign: match[1], name: match[2].trim() })
    end = match.index + match[0].length
  }
  tokens.push({ text: text.slice(end) })
  return fill(tokens, 0, tokens.length, [{ value: fields }])
}

function fill (tokens, from, to, scopes) {
  let out = ''
  for (let i = from; i < to; i++) {
    const token = tokens[i]
    if (token.text !== undefined) out += token.text
    else if (token.sign === '#' || token.sign === '^') {
      const close = findClose(tokens, i, token.name)
      out += fillSection(tokens, i + 1, close, scopes, token)
      i = close
    } else out += formatGap(token.name, scopes)
  }
  return out
}

function findClose (tokens, open, name) {
  let depth = 0
  for (let i = open; i < tokens.length; i++) {
    const { sign, name: other } = tokens[i]
    if (other !== name) continue
    if (sign === '#' || sign === '^') depth += 1
    if (sign === '/' && --depth === 0) return i
  }
  throw new Error(`section ${name} is not closed`)
}

function fillSection (tokens, from, to, scopes, { sign, name }) {
  const value = find(name, scopes)
  const isGiven = value !== undefined && value !== null && value !== false
  if (sign === '^') return isGiven ? '' : fill(tokens, from, to, scopes)
  if (!isGiven) return ''
  if (typeof value !== 'object') return fill(tokens, from, to, scopes)
  const entries = Object.entries(value)
  return entries.map(([key, one], i) => fill(tokens, from, to, [{ value: one, key, isLast: i === entries.length - 1 }, ...scopes])).join('')
}

function formatGap (name, scopes) {
  if (name === ',') return scopes[0].isLast ? '' : ','
  if (name === '@') return scopes[0].key
  const [path, format] = name.split('|')
  const value = path === '.' ? scopes[0].value : find(path, scopes)
  if (format === 'json') return JSON.stringify(value ?? null)
  if (value === undefined || value === null) return ''
  if (Array.isArray(value)) return value.join(',')
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}

function find (path, scopes) {
  const [first, ...rest] = path.split('.')
  const scope = scopes.find(({ value }) => value !== null && typeof value === 'object' && value[first] !== undefined)
  return rest.reduce((value, key) => value?.[key], scope?.value[first])
}
