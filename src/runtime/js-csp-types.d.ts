/** The part of js-csp that this project uses; the package ships no types. */
declare module 'js-csp' {
  export interface Buffer { readonly __buffer: true }
  export interface Channel { close(): void }
  export const CLOSED: null
  export function chan (buffer?: Buffer | number): Channel
  export function go (body: () => Generator<unknown, unknown, unknown>): Channel
  export function take (channel: Channel): unknown
  export function put (channel: Channel, value: unknown): unknown
  export function putAsync (channel: Channel, value: unknown, done?: (ok: boolean) => void): void
  export const buffers: {
    fixed (size: number): Buffer
    dropping (size: number): Buffer
    sliding (size: number): Buffer
  }
  const csp: {
    chan: typeof chan
    go: typeof go
    take: typeof take
    put: typeof put
    putAsync: typeof putAsync
    buffers: typeof buffers
    CLOSED: typeof CLOSED
  }
  export default csp
}
