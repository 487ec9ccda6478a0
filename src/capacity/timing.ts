import { performance } from 'node:perf_hooks'

const repetitions = 5

/** Median time of `run` over several repetitions, in µs per operation; `operations` is the number of operations in `run`. */
export function measureMedianUs (operations: number, run: () => void): number {
  const times: number[] = []
  for (let i = 0; i < repetitions; i++) {
    const startedAt = performance.now()
    run()
    times.push((performance.now() - startedAt) * 1000 / operations)
  }
  times.sort((a, b) => a - b)
  return times[repetitions >> 1]
}

/** Heap bytes retained by the return value of `build`. Needs `--expose-gc`. */
export function measureHeapBytes (build: () => unknown): number {
  const collectGarbage = (globalThis as { gc?: () => void }).gc
  if (collectGarbage === undefined) throw new Error('heap measurements need node --expose-gc')
  collectGarbage()
  const bytesBefore = process.memoryUsage().heapUsed
  const retained = build()
  collectGarbage()
  const bytesAfter = process.memoryUsage().heapUsed
  return retained === undefined ? 0 : Math.max(0, bytesAfter - bytesBefore)
}
