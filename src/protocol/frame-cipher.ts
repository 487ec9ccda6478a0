import { createHmac, timingSafeEqual } from 'node:crypto'

const macBytes = 16

/** The side of a connection that a frame comes from. */
export type FrameSide = 'caller' | 'listener'

/** The two keys of one connection, from the shared secret and both nonces. */
export interface FrameKeys {
  readonly caller: Buffer
  readonly listener: Buffer
}

/** Derives the keys of one connection. Fresh nonces make old frames worthless. */
export function deriveKeys (secret: string, callerNonce: Uint8Array, listenerNonce: Uint8Array): FrameKeys {
  const derive = (side: FrameSide): Buffer =>
    createHmac('sha256', secret).update(side).update(callerNonce).update(listenerNonce).digest()
  return { caller: derive('caller'), listener: derive('listener') }
}

/** Authenticates the frames of one direction, which carry rising numbers. */
export class FrameSeal {
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
    return createHmac('sha256', this.#key).update(number).update(body).digest().subarray(0, macBytes)
  }

  /** True where the code is that of the next frame; a replayed frame fails. */
  verify (mac: Uint8Array, body: Uint8Array): boolean {
    return timingSafeEqual(this.sign(body), mac)
  }
}

/** Bytes of a frame's code. */
export const frameMacBytes = macBytes
