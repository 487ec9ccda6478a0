/** The bodies and events that stand-in endpoints answer with. */

/** The request that an answer depends on. */
export interface AnsweredRequest {
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly body: string
}

/** The body of a non-streamed answer: a function of the request, so that a test can tell which request it answers. It is larger by `N` bytes if the path contains `bytes-N`. */
export function composeBody (run: AnsweredRequest): string {
  return JSON.stringify({ answers: run.requestId, method: run.method, path: run.path, body: run.body }) + composePadding(run.path, run.requestId)
}

/** One event of a stream, also larger if the path contains `bytes-N`. All endpoints of a software version send the same, so that a stream can be resumed at another. */
export function composeEvent (path: string, id: number, software = ''): string {
  return `id: ${id}\ndata: ${path} ${id}${software === '' ? '' : ` ${software}`}${composePadding(path, path)}\n\n`
}

/** The ids and software versions of the events in a stream, or in the part of it that was received; the last event may be cut off. */
export function readEvents (body: string): { readonly ids: readonly number[], readonly versions: readonly string[] } {
  const whole = body.slice(0, body.lastIndexOf('\n\n') + 1)
  const events = [...whole.matchAll(/^id: (\d+)\ndata: \S+ \d+(?: (\S+))?$/gm)]
  return { ids: events.map(([, id]) => Number(id)), versions: events.map(([, , version]) => version ?? '') }
}

// Repeats `text` to the number of bytes that the path asks for.
function composePadding (path: string, text: string): string {
  return ''.padEnd(Number(/bytes-(\d+)/.exec(path)?.[1] ?? 0), text)
}
