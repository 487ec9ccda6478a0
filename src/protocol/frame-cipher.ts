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

/** What marks the frames of one direction as coming from the peer. */
export interface FrameCode {
  /** Bytes that stand before each frame's body. */
  readonly bytes: number
  sign (body: Uint8Array): Buffer
  verify (mac: Uint8Array, body: Uint8Array): boolean
}

const noBytes = Buffer.alloc(0)

/** Marks nothing: for boxes that share no secret, on a network that only they can write to. */
export const openCode: FrameCode = {
  bytes: 0,
  sign: () => noBytes,
  verify: () => true
}

/** Authenticates the frames of one direction, which carry rising numbers. */
export class FrameSeal implements FrameCode {
  readonly bytes = macBytes
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
