/**
 * Takes the signal to read the settings again from the first moment on: without
 * a handler it would end a program that is still starting. Imported first by
 * programs that know the signal.
 */

let take: (() => void) | null = null
let missed = false

process.on('SIGHUP', () => {
  if (take === null) missed = true
  else take()
})

/** Hands the signal to `handler` from now on; one that came before is handed on at once. */
export function handleHangup (handler: () => void): void {
  take = handler
  if (missed) handler()
  missed = false
}
