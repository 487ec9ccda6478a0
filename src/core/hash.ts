/** A 32-bit hash of a text (FNV-1a with a final mix), the same in every process. */
export function hashText (text: string): number {
  let hash = 2166136261
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 16777619)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** The candidate with the highest hash together with `key` (rendezvous hashing); undefined for none. */
export function chooseByHash<T extends string> (key: string, candidates: readonly T[]): T | undefined {
  let best: T | undefined
  let highest = -1
  for (const candidate of candidates) {
    const hash = hashText(`${key}|${candidate}`)
    if (hash < highest || (hash === highest && best !== undefined && candidate > best)) continue
    best = candidate
    highest = hash
  }
  return best
}
