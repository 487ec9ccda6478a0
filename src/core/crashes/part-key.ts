import { brandId } from '../ids.js'
import type { Fingerprint } from '../ids.js'

/** Distinguishes parts of prompts from whole requests, whose digests don't contain it. */
const prefix = 'part.'

/** The key under which evidence on a part of prompts is kept; `digest`: of its id. */
export function composePartKey (digest: string): Fingerprint { return brandId(`${prefix}${digest}`) }

/** True if the key is that of a part of prompts. */
export function isPartKey (key: Fingerprint): boolean { return key.startsWith(prefix) }
