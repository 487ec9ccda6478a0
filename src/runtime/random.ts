import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'

const steps = 2 ** 30

/** A seeded source of numbers from 0 (included) to 1 (excluded). */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformInt(generator, 0, steps - 1) / steps
}
