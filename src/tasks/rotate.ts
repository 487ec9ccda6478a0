/** Rotates a list to the left by `offset` positions, modulo its length. */
export function rotate<T> (items: readonly T[], offset: number): T[] {
  if (items.length === 0) return []
  const start = offset % items.length
  return [...items.slice(start), ...items.slice(0, start)]
}
