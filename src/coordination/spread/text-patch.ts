/**
 * Encodes a text as a patch against an older one, so that the cost of sending a
 * change depends on the change and not on the document size. Texts are split at
 * the start of JSON objects; an unchanged object is copied from the older text
 * even if it has moved. Works for any two texts, but a changed text without
 * objects is sent in full.
 */

/** One step in building the newer text from start to end. */
export type PatchStep =
  /** Copies the characters [from, to) of the older text. */
  | { readonly type: 'keep', readonly from: number, readonly to: number }
  | { readonly type: 'add', readonly text: string }

/** A part of a text and its offset. */
interface Segment {
  readonly text: string
  readonly from: number
}

const objectStart = '{'

/** The steps that turn the older text into the newer one. */
export function computePatch (older: string, newer: string): PatchStep[] {
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

/** Builds the newer text. Throws `RangeError` if a step refers to a range outside the older text. */
export function applyPatch (older: string, steps: readonly PatchStep[]): string {
  return steps.map(step => {
    if (step.type === 'add') return step.text
    const { from, to } = step
    if (!(from >= 0 && from <= to && to <= older.length)) throw new RangeError(`text of ${older.length} characters has no range from ${from} to ${to}`)
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

// Merges adjacent ranges into one step.
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
