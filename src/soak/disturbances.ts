/** When which part of the stage was disturbed: promises bound by time hold where nothing was. */
export class Disturbances {
  #spans: { readonly part: string, readonly from: number, to: number }[] = []

  /** Notes that a disturbance of a part begins; the returned function ends it. */
  begin (part: string, at: number): (at: number) => void {
    const span = { part, from: at, to: Infinity }
    this.#spans.push(span)
    return endedAt => { span.to = endedAt }
  }

  /** True where one of the parts (by the beginning of its name) was disturbed at any time between two. */
  wasDisturbed (parts: readonly string[], from: number, to: number): boolean {
    return this.#spans.some(span => span.from <= to && span.to >= from && parts.some(part => span.part.startsWith(part)))
  }
}
