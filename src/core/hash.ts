/** A 32-bit hash of a string (FNV-1a with a finalizer), the same in every process. */
export function hashText (text: string): number {
  let hash = 2166136261
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 16777619)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Rendezvous hashing: the candidate whose hash with `key` is highest; undefined for an empty list. */
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
