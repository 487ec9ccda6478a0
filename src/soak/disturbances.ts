/** Records when which part of the testbed was disturbed by a fault. Guarantees with a time bound are only checked for undisturbed parts. */
export class Disturbances {
  #spans: { readonly part: string, readonly from: number, to: number }[] = []

  /** Records the start of a disturbance of a part; the returned function records its end. */
  begin (part: string, at: number): (at: number) => void {
    const span = { part, from: at, to: Infinity }
    this.#spans.push(span)
    return endedAt => { span.to = endedAt }
  }

  /** Whether a part whose name starts with one of `parts` was disturbed at any time from `from` to `to`. */
  wasDisturbed (parts: readonly string[], from: number, to: number): boolean {
    return this.#spans.some(span => span.from <= to && span.to >= from && parts.some(part => span.part.startsWith(part)))
  }
}
