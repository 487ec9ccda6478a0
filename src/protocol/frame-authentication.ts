import { createHmac, timingSafeEqual } from 'node:crypto'

const hmacBytes = 16

/** The side of a connection that a frame comes from. */
export type FrameSide = 'caller' | 'listener'

/** The keys of one connection, one for each sending side. */
export interface FrameKeys {
  readonly caller: Buffer
  readonly listener: Buffer
}

/** Derives the keys of one connection from the shared secret and both nonces. Fresh nonces prevent replay of frames from earlier connections. */
export function deriveKeys (secret: string, callerNonce: Uint8Array, listenerNonce: Uint8Array): FrameKeys {
  const derive = (side: FrameSide): Buffer =>
    createHmac('sha256', secret).update(side).update(callerNonce).update(listenerNonce).digest()
  return { caller: derive('caller'), listener: derive('listener') }
}

/** Authenticates the frames of one direction. */
export interface FrameAuthenticator {
  /** Length of the code before each frame's body, bytes. */
  readonly macBytes: number
  sign (body: Uint8Array): Buffer
  verify (mac: Uint8Array, body: Uint8Array): boolean
}

const noBytes = Buffer.alloc(0)

/** No authentication: for boxes without a shared secret, on a network that only they can send on. */
export const noAuthentication: FrameAuthenticator = {
  macBytes: 0,
  sign: () => noBytes,
  verify: () => true
}

/** Authenticates frames with an HMAC over an implicit sequence number and the body. */
export class HmacAuthenticator implements FrameAuthenticator {
  readonly macBytes = hmacBytes
  #key: Buffer
  #sequence = 0n

  constructor (key: Buffer) {
    this.#key = key
  }

  /** The code for the next frame. */
  sign (body: Uint8Array): Buffer {
    const number = Buffer.allocUnsafe(8)
    number.writeBigUInt64LE(this.#sequence)
    this.#sequence += 1n
    return createHmac('sha256', this.#key).update(number).update(body).digest().subarray(0, hmacBytes)
  }

  /** True where `mac` is that of the next frame in sequence; replayed, lost and reordered frames fail. */
  verify (mac: Uint8Array, body: Uint8Array): boolean {
    return timingSafeEqual(this.sign(body), mac)
  }
}
