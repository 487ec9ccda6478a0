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
  const olderSegments = splitSegments(older)
  const indexByText = new Map(olderSegments.map(({ text }, index) => [text, index]))
  const steps: PatchStep[] = []
  let nextIndex = 0
  for (const { text } of splitSegments(newer)) {
    const index = olderSegments[nextIndex]?.text === text ? nextIndex : indexByText.get(text)
    if (index === undefined) {
      appendAdd(steps, text)
      continue
    }
    const { from } = olderSegments[index]
    appendKeep(steps, from, from + text.length)
    nextIndex = index + 1
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

function splitSegments (text: string): Segment[] {
  const segments: Segment[] = []
  let from = 0
  while (from < text.length) {
    const nextStart = text.indexOf(objectStart, from + 1)
    const to = nextStart < 0 ? text.length : nextStart
    segments.push({ text: text.slice(from, to), from })
    from = to
  }
  return segments
}

// Parts that follow one another become one step.
function appendKeep (steps: PatchStep[], from: number, to: number): void {
  const last = steps[steps.length - 1]
  if (last?.type === 'keep' && last.to === from) steps[steps.length - 1] = { type: 'keep', from: last.from, to }
  else steps.push({ type: 'keep', from, to })
}

function appendAdd (steps: PatchStep[], text: string): void {
  const last = steps[steps.length - 1]
  if (last?.type === 'add') steps[steps.length - 1] = { type: 'add', text: last.text + text }
  else steps.push({ type: 'add', text })
}
