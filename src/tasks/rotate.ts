/** The items, from the one at `by` on, those before it last. */
export function rotate<T> (items: readonly T[], by: number): T[] {
  if (items.length === 0) return []
  const at = by % items.length
  return [...items.slice(at), ...items.slice(0, at)]
}
