/**
 * Installs a SIGHUP handler before anything else is loaded: without one, a
 * SIGHUP (reload the settings) would terminate a program that is still starting.
 * Programs that reload on SIGHUP import this module first.
 */

let hangupHandler: (() => void) | null = null
let isPending = false

process.on('SIGHUP', () => {
  if (hangupHandler === null) isPending = true
  else hangupHandler()
})

/** Calls `handler` on each SIGHUP from now on, and immediately if one arrived earlier. */
export function handleHangup (handler: () => void): void {
  hangupHandler = handler
  if (isPending) handler()
  isPending = false
}
