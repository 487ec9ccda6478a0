/**
 * A newer text told as what changed since an older one, so that a change to a
 * large document costs what it changed and not what the document weighs. Texts
 * are cut where objects of JSON begin: an object that stayed as it was is kept,
 * wherever it stands now. Any two texts will do, though one without objects is
 * told whole.
 */

/** One step in making the newer text, front to back. */
export type PatchStep =
  /** A part of the older text, by its places in it; the part ends before `to`. */
  | { readonly type: 'keep', readonly from: number, readonly to: number }
  | { readonly type: 'add', readonly text: string }

/** A part of a text, and where it stands there. */
interface Segment {
  readonly text: string
  readonly from: number
}

const objectStart = '{'

/** The steps that lead from the older text to the newer one. */
export function compareTexts (older: string, newer: string): PatchStep[] {
  const known = cutSegments(older)
  const places = new Map(known.map(({ text }, place) => [text, place]))
  const steps: PatchStep[] = []
  let following = 0
  for (const { text } of cutSegments(newer)) {
    const place = known[following]?.text === text ? following : places.get(text)
    if (place === undefined) {
      addText(steps, text)
      continue
    }
    const { from } = known[place]
    keepPart(steps, from, from + text.length)
    following = place + 1
  }
  return steps
}

/** Makes the newer text. Throws `RangeError` where a step names a part that the older text hasn't. */
export function applySteps (older: string, steps: readonly PatchStep[]): string {
  return steps.map(step => {
    if (step.type === 'add') return step.text
    const { from, to } = step
    if (!(from >= 0 && from <= to && to <= older.length)) throw new RangeError(`a text of ${older.length} characters has no part from ${from} to ${to}`)
    return older.slice(from, to)
  }).join('')
}

function cutSegments (text: string): Segment[] {
  const segments: Segment[] = []
  let from = 0
  while (from < text.length) {
    const next = text.indexOf(objectStart, from + 1)
    const to = next < 0 ? text.length : next
    segments.push({ text: text.slice(from, to), from })
    from = to
  }
  return segments
}

// Parts that follow one another become one step.
function keepPart (steps: PatchStep[], from: number, to: number): void {
  const last = steps[steps.length - 1]
  if (last?.type === 'keep' && last.to === from) steps[steps.length - 1] = { type: 'keep', from: last.from, to }
  else steps.push({ type: 'keep', from, to })
}

function addText (steps: PatchStep[], text: string): void {
  const last = steps[steps.length - 1]
  if (last?.type === 'add') steps[steps.length - 1] = { type: 'add', text: last.text + text }
  else steps.push({ type: 'add', text })
}
