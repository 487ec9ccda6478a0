/**
 * Runs V8's collector on demand. V8 leaves up to 64 MB of buffers uncollected, whatever the memory of the machine: buffers
 * count little towards the collections that its own heap brings about.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

// The flag is reset at once, as code caches are only accepted under the flags they were made with.
setFlagsFromString('--expose-gc')
const collect = runInNewContext('gc') as (options: { readonly type: 'minor' }) => void
setFlagsFromString('--no-expose-gc')

/** Frees the buffers that were allocated since the last collection and are not used any more. */
export function collectYoungGarbage (): void { collect({ type: 'minor' }) }
