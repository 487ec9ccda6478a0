/**
 * Takes the signal to read the settings again from the first moment on: without
 * a handler it would end a program that is still starting. Imported first by
 * programs that know the signal.
 */

let hangupHandler: (() => void) | null = null
let isPending = false

process.on('SIGHUP', () => {
  if (hangupHandler === null) isPending = true
  else hangupHandler()
})

/** Hands the signal to `handler` from now on; one that came before is handed on at once. */
export function handleHangup (handler: () => void): void {
  hangupHandler = handler
  if (isPending) handler()
  isPending = false
}
