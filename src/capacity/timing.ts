import { performance } from 'node:perf_hooks'

const rounds = 5

/** Median time of `run` over a few rounds, in microseconds for each of its `count` parts. */
export function timeEach (count: number, run: () => void): number {
  const times: number[] = []
  for (let i = 0; i < rounds; i++) {
    const began = performance.now()
    run()
    times.push((performance.now() - began) * 1000 / count)
  }
  times.sort((a, b) => a - b)
  return times[rounds >> 1]
}

/** Bytes of heap that what `build` returns holds on to. Needs `--expose-gc`. */
export function weigh (build: () => unknown): number {
  const collect = (globalThis as { gc?: () => void }).gc
  if (collect === undefined) throw new Error('run node with --expose-gc')
  collect()
  const before = process.memoryUsage().heapUsed
  const held = build()
  collect()
  const after = process.memoryUsage().heapUsed
  return held === undefined ? 0 : Math.max(0, after - before)
}
